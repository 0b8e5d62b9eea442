// Command rig2 runs one case of the review: a scheduler as a process of its own, with stand-ins for nodes, journal service and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// setting is what a case gets.
type setting struct {
	record  *record
	root    string
	temp    string        // a folder that is removed at the end
	trouble bool          // the disruption happens
	settle  time.Duration // between the start of the scheduler and the first set-up
}

var cases = map[string]func(s setting) (int, error){
	"late-list":    lateList,
	"clock-step":   clockStep,
	"crowd":        crowd,
	"cold-node":    coldNode,
	"replaced":     replaced,
	"hand-over":    handOver,
	"lost-stop":    lostStop,
	"lost-release": lostRelease,
	"stall-loss":   stallLoss,
}

func main() {
	runtime.LockOSThread()
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return noRun
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noRun
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noRun
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noRun
	}
	defer func() { _ = os.RemoveAll(temp) }()
	go func() { // the scheduler ends with this process
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-ended:
			r.say("the case was ended by a signal")
		case <-time.After(maxTime):
			r.say("the case did not end in time")
		}
		_ = os.RemoveAll(temp)
		os.Exit(noRun)
	}()
	code, err := cases[os.Args[1]](setting{r, root, temp, os.Getenv("TROUBLE") != "0", 3 * time.Second})
	if err != nil {
		r.say("the case could not run: %v", err)
		return noRun
	}
	return code
}
