// Command rig plays one case of the review: it starts the project's scheduler by the run command of the deploy file, and stand-ins for the
// clients, the nodes and the journal service in this process, all on loopback addresses.
//
//	rig CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it plays the same
// without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// world is what a case plays with.
type world struct {
	rec     *record
	folder  string
	trouble bool
	site    site
}

func (w *world) verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	word := "rule held"
	if broken {
		word = "RULE BROKEN"
	}
	w.rec.log("%s: %s", word, text)
	fmt.Printf("%s: %s\n", word, text)
	if broken {
		exit(1)
	}
	exit(0)
}

func main() {
	cases := map[string]func(*world){
		"handed-over": handedOver, "zone-returns": zoneReturns, "replaced": replaced, "gone-silent": goneSilent, "ended-while-down": endedWhileDown, "stall-and-drain": stallAndDrain, "stall-and-end": stallAndEnd,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: rig CASE RECORD")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-signals; cannotRun("told to end") }()
	time.AfterFunc(115*time.Second, func() { cannotRun("took too long") })
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("%v", err)
	}
	if os.Getenv("KEEP") == "" {
		atExit(func() { _ = os.RemoveAll(folder) })
	} else {
		fmt.Println("logs in", folder)
	}
	cases[os.Args[1]](&world{rec: newRecord(os.Args[2]), folder: folder, trouble: os.Getenv("TROUBLE") != "0", site: mainCampus})
}
