// Command review-stage-3 plays the scripts of the cases 11 to 15: stand-ins for the store, the servers and the clients in
// this process, and routers as processes of their own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var (
	// folder is a temporary folder for settings and logs of routers.
	folder string
	// trouble is false with TROUBLE=0.
	trouble = os.Getenv("TROUBLE") != "0"
	routers []*router

	noteMu  sync.Mutex
	out     *os.File
	started = time.Now()
)

// note writes a line of the record.
func note(format string, values ...any) {
	noteMu.Lock()
	defer noteMu.Unlock()
	fmt.Fprintf(out, "%8.3f  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, values...))
}

// finish ends all processes and this one.
func finish(code int) {
	for _, r := range routers {
		if r.command != nil && r.running() {
			_ = r.command.Process.Kill()
			<-r.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	}
	os.Exit(code)
}

// broken ends the case: the rule was broken.
func broken(format string, values ...any) {
	note("BROKEN: "+format, values...)
	fmt.Printf("broken: "+format+"\n", values...)
	finish(1)
}

// held ends the case: the rule held.
func held(format string, values ...any) {
	note("HELD: "+format, values...)
	fmt.Printf("held: "+format+"\n", values...)
	finish(0)
}

// cannotRun ends the case: it couldn't run.
func cannotRun(why string) {
	note("NOT RUN: %s", why)
	fmt.Println("not run: " + why)
	finish(2)
}

func check(err error) {
	if err != nil {
		cannotRun(err.Error())
	}
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: review-stage-3 CASE RECORD")
		os.Exit(2)
	}
	var err error
	if out, err = os.Create(os.Args[2]); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	folder, err = os.MkdirTemp("", "review-3-")
	check(err)
	if _, err := os.Stat(filepath.Join("target", "platform")); err != nil {
		cannotRun("build target/platform first, and run this in the repository's root")
	}
	note("case %s, trouble %v", os.Args[1], trouble)
	time.AfterFunc(115*time.Second, func() { cannotRun("no result within 115 s") })
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stops
		cannotRun("stopped by a signal")
	}()
	play, ok := cases[os.Args[1]]
	if !ok {
		cannotRun("unknown case")
	}
	play()
	cannotRun("the case ended without a result")
}
