package main

import (
	"sort"
	"sync"
	"time"
)

// load are the requests of tenants that send more than their allowance.
type load struct {
	mu       sync.Mutex
	tenantOf map[string]string
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
			l.tenantOf[r.attempt] = t.name
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

// mostIn returns the largest number of the times in a window, and where it begins.
func mostIn(times []time.Time, window time.Duration) (int, time.Time) {
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	most, from, first := 0, time.Time{}, 0
	for last := range times {
		for times[last].Sub(times[first]) > window {
			first++
		}
		if last-first+1 > most {
			most, from = last-first+1, times[first]
		}
	}
	return most, from
}
