// The program plays the cases of the second review: routers run as processes, the store, the servers and the clients are
// stand-ins in this program. See build-2.sh.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict int

const (
	held     verdict = 0
	broken   verdict = 1
	unplayed verdict = 2
)

// readyTime is how long routers may take to become ready.
const readyTime = 20 * time.Second

// stage is what a case works with.
type stage struct {
	*record

	dir     string
	servers []*server
	// trouble is false if the case is played without its disruption.
	trouble bool
}

var cases = map[string]func(*stage) verdict{
	"ends":     playEnds,
	"batch":    playBatch,
	"taken":    playTaken,
	"leaves":   playLeaves,
	"in-place": playInPlace,
	"moves":    playMoves,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "server" {
		runServer(os.Args[2])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stage-2 CASE RECORD")
		os.Exit(int(unplayed))
	}
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stops
		processes.end()
		os.Exit(int(unplayed))
	}()
	dir, err := os.MkdirTemp("", "review-2-")
	must(err)
	s := &stage{record: newRecord(os.Args[2]), dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	v := cases[os.Args[1]](s)
	processes.end()
	s.add("result: %d (%s)", v, map[verdict]string{held: "the rule held", broken: "the rule was broken", unplayed: "the case could not run"}[v])
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	}
	os.Exit(int(v))
}

// children are the processes that this one has started.
type children struct {
	mu   sync.Mutex
	list []*os.Process
}

var processes children

// start starts a process.
func (c *children) start(command *exec.Cmd) {
	must(command.Start())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, command.Process)
}

// end ends all processes that have not ended.
func (c *children) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.list {
		_ = p.Kill() // An error means that the process has ended.
	}
}

// must ends the program if the case can't run.
func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		processes.end()
		os.Exit(int(unplayed))
	}
}
