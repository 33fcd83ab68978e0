package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	endlessMachines  = 9
	endlessTroubled  = 3                       // of them have backend servers in trouble
	endlessRate      = 70                      // requests a second from the clients of each machine
	endlessFor       = 5500 * time.Millisecond // length of the trouble
	endlessEach      = 20                      // one of so many answers of the backend server in trouble has no end
	endlessTimeout   = 2 * time.Second         // of the route
	endlessLimit     = 8 * time.Second         // for which the clients wait
	endlessSlack     = 500 * time.Millisecond  // after the timeout, by the rule
	endlessCountMin  = 8                       // requests without a final answer, by the rule
	endlessShareMax  = 0.25                    // of those that last longer than the timeout, by the rule
	endlessInterval  = 50 * time.Millisecond   // between two parts of an answer without end
	endlessPartBytes = 32 << 10
	endlessAnswer    = 6000 // bytes of a sound answer
)

// endless lets some backend servers send some answers without end.
type endless struct {
	e *environment

	mu    sync.Mutex
	until time.Time

	// answers is the number of answers in trouble of each backend server, by its machine, and spoiled that of all of them
	// that have no end.
	answers map[string]int
	spoiled int
}

// begin begins the trouble.
func (x *endless) begin() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.until = time.Now().Add(endlessFor)
}

// next reports whether the next answer of the machine has no end.
func (x *endless) next(machine string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	n, troubled := x.answers[machine]
	if !troubled || time.Now().After(x.until) {
		return false
	}
	x.answers[machine] = n + 1
	if x.answers[machine]%endlessEach != 0 {
		return false
	}
	x.spoiled++
	return true
}

// answer returns the work of the backend server of the machine.
func (x *endless) answer(machine string) func(w http.ResponseWriter, r *http.Request, _ []byte) {
	return func(w http.ResponseWriter, r *http.Request, _ []byte) {
		time.Sleep(20 * time.Millisecond)
		if !x.next(machine) {
			w.Header().Set("Content-Length", strconv.Itoa(endlessAnswer))
			_, _ = w.Write(make([]byte, endlessAnswer))
			return
		}
		id := r.Header.Get(headerAttempt)
		x.e.record("backend %s: the answer to %s has no end", machine, id)
		began := time.Now()
		for n := 0; ; n++ {
			_, err := w.Write(make([]byte, endlessPartBytes))
			if err == nil {
				err = http.NewResponseController(w).Flush()
			}
			if err != nil {
				x.e.record("backend %s: the caller closed %s after %v and %d parts", machine, id, time.Since(began).Round(time.Millisecond), n)
				return
			}
			time.Sleep(endlessInterval)
		}
	}
}

// playEndless sends downloads while some answers of three of nine backend servers have no end.
func playEndless(e *environment, trouble bool) (bool, error) {
	e.configure(1, readRoute, route{name: "r-packs", prefix: "/packs/", kind: "download", timeout: endlessTimeout, service: "orders", attempts: 2})
	for range endlessMachines {
		e.addMachine("orders")
	}
	x := &endless{e: e, answers: map[string]int{}}
	for _, m := range e.machines[:endlessTroubled] {
		x.answers[m.ip] = 0
	}
	onRun := func(m *machine, r *http.Request, _ []byte) {
		e.record("backend %s runs %s %s, time limit %s ms", m.ip, r.Header.Get(headerAttempt), r.URL.Path, r.Header.Get(headerDeadline))
	}
	start := func(m *machine) (*backend, error) { return startBackend(e, m, x.answer(m.ip), onRun) }
	if err := e.startAll(start, "/read/probe"); err != nil {
		return false, err
	}
	if trouble {
		x.begin()
	}
	answers := x.load()
	lasting, open := 0, 0
	statuses := map[int]int{}
	for _, a := range answers {
		statuses[a.status]++
		if a.took > endlessTimeout {
			lasting++
		}
		if a.took > endlessTimeout+endlessSlack {
			open++
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if trouble && x.spoiled < endlessCountMin {
		return false, fmt.Errorf("only %d answers without end", x.spoiled)
	}
	e.record("%d downloads by status (0 is none): %v; %d answers had no end, of those in trouble by backend: %v", len(answers), statuses, x.spoiled, x.answers)
	e.record("%d requests lasted longer than their route's timeout of %v; %d had no final answer %v after it", lasting, endlessTimeout, open, endlessSlack)
	return open < endlessCountMin || float64(open) <= endlessShareMax*float64(lasting), e.running()
}

// load sends downloads at all machines for the length of the trouble, and returns the answers once all have ended.
func (x *endless) load() []answer {
	mu := sync.Mutex{}
	answers := []answer{}
	group := sync.WaitGroup{}
	for _, m := range x.e.machines {
		group.Go(func() {
			for end := time.Now().Add(endlessFor); time.Now().Before(end); time.Sleep(time.Second / endlessRate) {
				group.Go(func() {
					a := send(context.Background(), m, request{method: http.MethodGet, path: "/packs/a", limit: endlessLimit})
					x.e.record("client at %s: %s ended after %v, status %d, %d bytes, whole %v", m.ip, a.id, a.took.Round(time.Millisecond), a.status, a.bytes, a.whole)
					mu.Lock()
					defer mu.Unlock()
					answers = append(answers, a)
				})
			}
		})
	}
	group.Wait()
	return answers
}
