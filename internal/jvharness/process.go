package jvharness

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one started program.
type Process struct {
	Name    string
	LogPath string
	cmd     *exec.Cmd
	done    chan struct{}
}

// start runs a program with its output in a file.
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

// Signal sends a signal to the process by its own id.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Stop asks the process to end and waits; it tells whether it ended in time.
func (p *Process) Stop(limit time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	return p.Wait(limit)
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Wait waits for the process's end.
func (p *Process) Wait(limit time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		return false
	}
}
