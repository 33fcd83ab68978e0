// Command review runs one case of the review: it starts a small deployment, plays the case, and exits with 1 if the rule
// was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// lengthMax is the longest time that a case may take.
const lengthMax = 110 * time.Second

// current is the deployment that runs.
var current atomic.Pointer[cluster]

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// play plays a case and reports whether the rule was broken.
type play func(log *record, trouble bool) (broken bool, err error)

// plays are the cases by name; each registers itself.
var plays = map[string]play{}

func main() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(lengthMax):
		}
		if c := current.Load(); c != nil {
			c.stop()
		}
		os.Exit(exitCannotRun)
	}()
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE FOLDER")
		return exitCannotRun
	}
	log, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	log.linef("case %s, disruption %v", os.Args[1], trouble)
	broken, err := plays[os.Args[1]](log, trouble)
	switch {
	case err != nil:
		log.linef("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return exitCannotRun
	case broken:
		log.linef("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		log.linef("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
