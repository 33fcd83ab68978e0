package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { plays["marked-header"] = playMarkedHeader }

// playMarkedHeader sends a few requests with a header of a name that nodes use among themselves, while other clients
// send orders on kept connections at the other machines; it counts the orders that reached a backend server and whose
// connection then ended without an answer. Orders that were sent within contact of a start of the machine's process, or
// first on their connection, are left out.
func playMarkedHeader(log *record, trouble bool) (bool, error) {
	const (
		marked       = 8
		markedPeriod = 4500 * time.Millisecond
		clients      = 12
		contact      = 3 * time.Second
		lostMax      = 3 // the rule allows three
	)
	routes := []route{
		{name: "r-orders", host: "shop.example", prefix: "/orders/", kind: "non_idempotent", timeout: "3000ms", service: "orders", attempts: 2},
		{name: "r-stock", host: "shop.example", prefix: "/stock/", kind: "idempotent", timeout: "3000ms", service: "orders", attempts: 2},
	}
	tenants := []tenant{{name: "golf", keys: []string{"key-golf-1"}}, {name: "hotel", keys: []string{"key-hotel-1"}}}
	c, err := newCluster(spec{services: []string{"orders", "orders", "orders", "prices"}, slots: 32, work: 200 * time.Millisecond, body: []byte("done")},
		configuration("00000001", routes, []string{"orders", "prices"}, tenants), log)
	defer c.stop()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	group := sync.WaitGroup{}
	mu := sync.Mutex{}
	unanswered := map[string]string{}
	sent, served := 0, 0
	for i := range clients {
		m := c.machines[i%3]
		group.Go(func() {
			k := &client{address: m.outbound}
			defer k.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				r := request{method: "POST", host: "shop.example", path: "/orders/new", attempt: newAttempt(), key: "key-golf-1", body: "one order"}
				kept := k.nc != nil && k.served > 0
				inTouch := m.runningFor() > contact
				a := k.do(r, 5*time.Second)
				mu.Lock()
				sent++
				if a.status == 200 {
					served++
				}
				var timeout interface{ Timeout() bool }
				if a.err != nil && !(errors.As(a.err, &timeout) && timeout.Timeout()) {
					if kept && inTouch {
						unanswered[r.attempt] = m.name
					}
					log.linef("order %s at %s: connection ended without an answer: %v; kept connection %v, in touch %v", r.attempt, m.name, a.err, kept, inTouch)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	k := &client{address: c.machines[3].outbound}
	for range marked {
		name := "X-Shop-Draw"
		if trouble {
			name = "Chivegauge-Draw"
		}
		r := request{method: "GET", host: "shop.example", path: "/stock/list", attempt: newAttempt(), key: "key-hotel-1", header: []string{name + ": 1"}}
		a := k.do(r, 5*time.Second)
		log.linef("sent %s at %s with header %q: status %d, error %v", r.attempt, c.machines[3].name, r.header[0], a.status, a.err)
		time.Sleep(markedPeriod)
	}
	k.close()
	close(stop)
	group.Wait()
	recordKeys(log, c, trouble)
	ran := map[string]bool{}
	for _, r := range c.allRuns() {
		ran[r.attempt] = true
	}
	lost := 0
	for id, name := range unanswered {
		if ran[id] {
			lost++
			log.linef("order %s at %s ran and got no answer", id, name)
		}
	}
	ends := 0
	for _, m := range c.machines {
		n := m.endedByItself()
		ends += n
		log.linef("process of %s: ended by itself %d times", m.name, n)
		logPanic(log, m)
	}
	log.linef("%d orders sent, %d served, %d of them passed on and then cut off without an answer; %d ends of processes", sent, served, lost, ends)
	return lost > lostMax, nil
}

// recordKeys sends one more request, without an attempt ID, and records whether the answer holds the keys of another
// tenant; the verdict doesn't depend on it.
func recordKeys(log *record, c *cluster, trouble bool) {
	time.Sleep(3 * time.Second)
	name := "X-Shop-Prove"
	if trouble {
		name = "Chivegauge-Prove"
	}
	k := &client{address: c.machines[3].outbound}
	defer k.close()
	a := k.do(request{method: "POST", host: "shop.example", path: "/stock/list", key: "key-hotel-1", header: []string{name + ": 1"}, body: "{}"}, 5*time.Second)
	log.linef("sent without an attempt ID, key of hotel, header %q: status %d, signature %q, error %v; the key of golf is in the answer: %v",
		name, a.status, a.signature, a.err, strings.Contains(string(a.body), "key-golf-1"))
}

// logPanic records the first lines of a panic of the machine's process.
func logPanic(log *record, m *machine) {
	b, err := os.ReadFile(m.settings + ".log")
	if err != nil {
		return
	}
	at := strings.Index(string(b), "panic:")
	if at < 0 {
		return
	}
	for _, line := range strings.SplitN(string(b[at:]), "\n", 24)[:min(23, strings.Count(string(b[at:]), "\n"))] {
		if !strings.Contains(line, "/") {
			log.linef("%s: %s", m.name, fmt.Sprint(line))
		}
	}
}
