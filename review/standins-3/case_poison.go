package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// contact and retriesMax are the bounds of the rule: the time after the third backend crashed, and the retries sent
	// later that reach backend servers.
	contact    = 3 * time.Second
	retriesMax = 3

	poisonInterval = time.Second
)

// poison watches a request that crashes backend servers.
type poison struct {
	e  *environment
	mu sync.Mutex

	// crashes are the runs of the request, each of which crashes its backend server, and sentAt the time at which each
	// attempt was sent.
	crashes []crash
	sentAt  map[string]time.Time
}

// crash is one run of the request.
type crash struct {
	at      time.Time
	machine string
	attempt string
}

func (p *poison) onRun(m *machine, r *http.Request, body []byte) {
	id := r.Header.Get(headerAttempt)
	if !bytes.HasPrefix(body, []byte(poisonMark)) {
		p.e.record("backend %s runs %s %s %s (%d bytes)", m.ip, id, r.Method, r.URL.Path, len(body))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, crash{at: time.Now(), machine: m.ip, attempt: id})
	p.e.record("backend %s runs %s %s %s (%d bytes, called by %s) and crashes: crash %d", m.ip, id, r.Method, r.URL.Path, len(body),
		r.Header.Get("X-Chivegauge-Caller-Service"), len(p.crashes))
}

// thirdCrash returns the time at which the third backend server crashed, or zero; a backend server that crashed, started
// again and crashed again counts once.
func (p *poison) thirdCrash() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	crashed := map[string]bool{}
	for _, c := range p.crashes {
		crashed[c.machine] = true
		if len(crashed) == 3 {
			return c.at
		}
	}
	return time.Time{}
}

// held reports whether no more retries than allowed, of those that were sent later than contact after the third backend
// server had crashed, reached one. All machines are in touch: nothing is done to them or to the store.
func (p *poison) held() bool {
	third := p.thirdCrash()
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	for _, c := range p.crashes {
		if !third.IsZero() && p.sentAt[c.attempt].Sub(third) > contact {
			late++
		}
	}
	p.e.record("%d crashes; %d retries that were sent later than %v after the third backend had crashed reached one, %d are allowed", len(p.crashes), late, contact,
		retriesMax)
	return late <= retriesMax
}

// repeat sends the request again and again, at one machine after the other, until the time is over.
func (p *poison) repeat(q request, d time.Duration) {
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		m := p.e.machines[n%len(p.e.machines)]
		a := send(context.Background(), m, q)
		p.mu.Lock()
		p.sentAt[a.id] = a.sentAt
		p.mu.Unlock()
		p.e.record("client at %s sent the request that crashes as %s: status %d", m.ip, a.id, a.status)
		time.Sleep(poisonInterval)
	}
}

// answerOK answers with a small body.
func answerOK(w http.ResponseWriter, r *http.Request, _ []byte) {
	time.Sleep(20 * time.Millisecond)
	_, _ = fmt.Fprintf(w, "done %s", r.Header.Get(headerAttempt))
}

// load sends harmless requests of the size to the path from all machines until the context ends, and returns a function
// that waits for its end and records the outcome.
func load(ctx context.Context, e *environment, path string, size int) func() {
	group := sync.WaitGroup{}
	mu := sync.Mutex{}
	statuses := map[int]int{}
	for _, m := range e.machines {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				body := bytes.Repeat([]byte(strconv.Itoa(n%10)), size)
				a := send(context.Background(), m, request{method: http.MethodPost, path: path, body: body, limit: 2 * time.Second})
				e.record("client at %s sent %s to %s (%d bytes): status %d", m.ip, a.id, path, size, a.status)
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	return func() {
		group.Wait()
		e.record("harmless requests by status (0 is none): %v", statuses)
	}
}

func newPoisonFleet(e *environment) (*poison, error) {
	for range 5 {
		e.addMachine("orders")
	}
	p := &poison{e: e, sentAt: map[string]time.Time{}}
	return p, e.startAll(func(m *machine) (*backend, error) { return startBackend(e, m, answerOK, p.onRun) }, "/read/probe")
}

var readRoute = route{name: "r-read", prefix: "/read/", kind: "idempotent", timeout: 2 * time.Second, service: "orders", attempts: 2}

// playLarge sends a request that crashes backend servers, beside other requests to the same path. SIZE is the size of the
// bodies of both, by default 100 KB.
func playLarge(e *environment, trouble bool) (bool, error) {
	size := 100_000
	if n, err := strconv.Atoi(os.Getenv("SIZE")); err == nil {
		size = n
	}
	e.configure(1, readRoute, route{name: "r-upload", prefix: "/upload/", kind: "non_idempotent", timeout: 2 * time.Second, service: "orders", attempts: 1})
	p, err := newPoisonFleet(e)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wait := load(ctx, e, "/upload/orders", size)
	q := request{method: http.MethodPost, path: "/upload/orders", body: append([]byte(poisonMark), bytes.Repeat([]byte("x"), size)...), limit: 2 * time.Second}
	if !trouble {
		q.body = q.body[len(poisonMark):]
	}
	p.repeat(q, 45*time.Second)
	cancel()
	wait()
	if trouble && p.thirdCrash().IsZero() {
		return false, fmt.Errorf("no three backend servers crashed")
	}
	return p.held(), e.running()
}

// playSplit sends a request that crashes backend servers, and splits its route after the third one has crashed.
func playSplit(e *environment, trouble bool) (bool, error) {
	whole := route{name: "r-orders", prefix: "/orders/", kind: "non_idempotent", timeout: 2 * time.Second, service: "orders", attempts: 1}
	part := route{name: "r-print", prefix: "/orders/print/", kind: "non_idempotent", timeout: 2 * time.Second, service: "orders", attempts: 1}
	e.configure(1, readRoute, whole)
	p, err := newPoisonFleet(e)
	if err != nil {
		return false, err
	}
	q := request{method: http.MethodPost, path: "/orders/print/7", body: []byte(poisonMark + " order"), limit: 2 * time.Second}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.repeat(q, 60*time.Second)
	}()
	for start := time.Now(); p.thirdCrash().IsZero(); time.Sleep(50 * time.Millisecond) {
		if time.Since(start) > 30*time.Second {
			return false, fmt.Errorf("no three backend servers crashed")
		}
	}
	time.Sleep(contact + time.Second)
	if trouble {
		e.configure(2, readRoute, whole, part)
	}
	<-done
	return p.held(), e.running()
}
