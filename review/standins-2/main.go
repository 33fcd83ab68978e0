// Command review-2 plays the cases of the second review against real nodes: each case is one subcommand.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case; broken holds a line for each violation.
type verdict struct {
	broken []string
	notes  []string
}

func (v *verdict) breaks(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

func (v *verdict) note(format string, args ...any) {
	v.notes = append(v.notes, fmt.Sprintf(format, args...))
}

// cases are the cases by name; trouble is false for the run without the disruption.
var cases = map[string]func(f *fleet, trouble bool) (*verdict, error){
	"drill":        drill,
	"public-key":   publicKey,
	"quota-freeze": quotaFreeze,
	"no-receipt":   noReceipt,
	"poison":       poison,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	f, err := newFleet()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.end()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		f.end()
		os.Exit(exitNotRun)
	}()
	v, err := cases[name](f, os.Getenv("TROUBLE") != "0")
	f.end()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if err := f.writeRecord(record, v); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, text := range v.notes {
		fmt.Println(text)
	}
	for i, text := range v.broken {
		if i == 5 {
			fmt.Println("and", len(v.broken)-i, "more")
			break
		}
		fmt.Println("BROKEN:", text)
	}
	if len(v.broken) > 0 {
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// writeRecord writes what was sent, answered and run, with the times in seconds since the start.
func (f *fleet) writeRecord(path string, v *verdict) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(file)
	since := func(t time.Time) float64 { return t.Sub(f.started).Seconds() }
	for _, text := range append(append([]string{}, v.notes...), v.broken...) {
		_, _ = fmt.Fprintln(w, "#", text)
	}
	for _, x := range f.attempts.all() {
		_, _ = fmt.Fprintf(w, "%.3f sent %s at %s: %s %s key %q; %.3f answered %d, receipt %q\n", since(x.sentAt), x.id, x.machine, x.method, x.path, x.key, since(x.endedAt), x.status, x.receipt)
	}
	for _, x := range f.runs.all() {
		_, _ = fmt.Fprintf(w, "%.3f run %s at %s of %s: %s tenant %q\n", since(x.at), x.id, x.backend, x.machine, x.path, x.tenant)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return file.Close()
}
