package jvharness

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a program started by the harness.
type Process struct {
	Name string
	// LogPath is the file with the output of the program.
	LogPath string
	cmd     *exec.Cmd
	done    chan struct{}
}

// start runs a program and appends its output to a log file in dir.
func start(dir, name, program string, arguments ...string) (*Process, error) {
	log := filepath.Join(dir, name+".log")
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = out.Close() }()
	p := &Process{Name: name, LogPath: log, cmd: exec.Command(program, arguments...), done: make(chan struct{})}
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process by its process ID.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Stop sends SIGTERM and reports whether the process ended within timeout.
func (p *Process) Stop(timeout time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	return p.Wait(timeout)
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Wait waits until the process has ended or timeout has passed, and reports whether it ended.
func (p *Process) Wait(timeout time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return false
	}
}
