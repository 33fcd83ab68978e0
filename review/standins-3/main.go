// Command review-3 plays one case of the review: it starts nodes as processes of their own, beside stand-ins for the
// store, the backend servers and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// scenario plays a case in the environment and reports whether the rule held; trouble says whether the disruption
// happens.
type scenario func(e *environment, trouble bool) (held bool, err error)

var scenarios = map[string]scenario{
	"blank":   playBlank,
	"broken":  playBroken,
	"endless": playEndless,
	"large":   playLarge,
	"split":   playSplit,
}

func main() {
	os.Exit(run())
}

// run expects the name of the case, the path of the program and that of the record.
func run() int {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 blank|broken|endless|large|split PROGRAM RECORD")
		return exitCouldNot
	}
	e, err := newEnvironment(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer e.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		e.close()
		os.Exit(exitCouldNot)
	}()
	held, err := scenarios[os.Args[1]](e, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		e.record("could not run: %v", err)
		return exitCouldNot
	case !held:
		e.record("RULE BROKEN")
		return exitBroken
	}
	e.record("rule held")
	return exitHeld
}
