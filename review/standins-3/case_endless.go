package main

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	endlessRequests = 32                     // as many as the backend server has slots
	endlessTimeout  = 2 * time.Second        // of the route
	endlessLimit    = 8 * time.Second        // for which the clients wait
	endlessSlack    = 500 * time.Millisecond // after the timeout, by the rule
	endlessInterval = 50 * time.Millisecond  // between two parts of an answer
	endlessPart     = 32 << 10               // bytes
	endlessParts    = 12                     // of a whole answer
)

// endless makes the backend server send bytes without end; it is in trouble while that is set.
type endless struct {
	e       *environment
	trouble bool
}

// answer answers with a large body; in trouble, it sends bytes until the caller closes.
func (x *endless) answer(w http.ResponseWriter, r *http.Request, _ []byte) {
	if r.URL.Path == "/read/probe" {
		answerOK(w, r, nil)
		return
	}
	began := time.Now()
	id := r.Header.Get(headerAttempt)
	if !x.trouble {
		w.Header().Set("Content-Length", strconv.Itoa(endlessParts*endlessPart))
	}
	for n := 0; x.trouble || n < endlessParts; n++ {
		if _, err := w.Write(make([]byte, endlessPart)); err != nil {
			x.e.record("backend: the caller closed %s after %v and %d parts", id, time.Since(began).Round(time.Millisecond), n)
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			x.e.record("backend: the caller closed %s after %v and %d parts", id, time.Since(began).Round(time.Millisecond), n)
			return
		}
		time.Sleep(endlessInterval)
	}
	x.e.record("backend: %s is answered whole after %v", id, time.Since(began).Round(time.Millisecond))
}

// playEndless sends downloads to a backend server whose answers have no end.
func playEndless(e *environment, trouble bool) (bool, error) {
	e.configure(1, readRoute, route{name: "r-packs", prefix: "/packs/", kind: "download", timeout: endlessTimeout, service: "orders", attempts: 2})
	m := e.addMachine("orders")
	x := &endless{e: e, trouble: trouble}
	onRun := func(m *machine, r *http.Request, _ []byte) {
		e.record("backend %s runs %s %s, time limit %s ms", m.ip, r.Header.Get(headerAttempt), r.URL.Path, r.Header.Get(headerDeadline))
	}
	start := func(m *machine) (*backend, error) { return startBackend(e, m, x.answer, onRun) }
	if err := e.startAll(start, "/read/probe"); err != nil {
		return false, err
	}
	mu := sync.Mutex{}
	answers := []answer{}
	group := sync.WaitGroup{}
	for range endlessRequests {
		group.Add(1)
		go func() {
			defer group.Done()
			a := send(context.Background(), m, request{method: http.MethodGet, path: "/packs/a", limit: endlessLimit})
			e.record("client: %s ended after %v, status %d, %d bytes, whole %v", a.id, a.took.Round(time.Millisecond), a.status, a.bytes, a.whole)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		}()
	}
	for range int(endlessLimit / time.Second) {
		time.Sleep(time.Second)
		a := send(context.Background(), m, request{method: http.MethodGet, path: "/read/probe", limit: time.Second})
		e.record("client: meanwhile a short request gets status %d", a.status)
	}
	group.Wait()
	time.Sleep(time.Second)
	lasting, open := 0, 0
	statuses := map[int]int{}
	for _, a := range answers {
		if a.took > endlessTimeout {
			lasting++
		}
		if a.took > endlessTimeout+endlessSlack {
			open++
		}
		statuses[a.status]++
	}
	e.record("downloads by status: %v", statuses)
	e.record("%d of %d requests lasted longer than their route's timeout of %v; %d had no final answer %v after it", lasting, len(answers), endlessTimeout, open, endlessSlack)
	return open < 8 || 4*open <= lasting, e.running()
}
