package main

import (
	"sync"
	"time"
)

// load are the requests of tenants that send more than their allowance.
type load struct {
	mu       sync.Mutex
	sentAt   map[string]time.Time
	statuses map[int]int
}

// begin starts the clients of all tenants at the machines, and returns a function that ends them.
func (l *load) begin(machines []*machine, tenants []tenant) func() {
	const (
		clients = 10 // of one tenant at one machine
		period  = 13 * time.Millisecond
	)
	stop := make(chan struct{})
	group := sync.WaitGroup{}
	one := func(m *machine, t tenant) {
		k := &client{address: m.outbound}
		defer k.close()
		for {
			select {
			case <-stop:
				return
			case <-time.After(period):
			}
			r := request{method: "GET", host: "shop.example", path: "/stock/list", attempt: newAttempt(), key: t.keys[0]}
			l.mu.Lock()
			l.sentAt[r.attempt] = time.Now()
			l.mu.Unlock()
			a := k.do(r, 5*time.Second)
			l.mu.Lock()
			l.statuses[a.status]++
			l.mu.Unlock()
		}
	}
	for _, m := range machines {
		for _, t := range tenants {
			for range clients {
				group.Go(func() { one(m, t) })
			}
		}
	}
	return func() {
		close(stop)
		group.Wait()
	}
}

// span is a request that ran: when it was sent, and when it reached the backend server.
type span struct {
	sent, arrived time.Time
}

// mostIn returns the largest number of requests that were both sent and arrived in one window, and where that begins.
func mostIn(spans []span, window time.Duration) (int, time.Time) {
	most, from := 0, time.Time{}
	for _, first := range spans {
		n := 0
		for _, s := range spans {
			if !s.sent.Before(first.sent) && s.arrived.Sub(first.sent) <= window {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	return most, from
}
