package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { plays["impatient-poison"] = playImpatientPoison }

// playImpatientPoison sends a request again and again that crashes each backend server that runs it, from a client that
// leaves before the crash, while other clients send orders. It counts the runs of that request later than contact after
// its third crash, and the orders that were cut off by the crashes.
func playImpatientPoison(log *record, trouble bool) (bool, error) {
	const (
		crashAfter = 400 * time.Millisecond
		leaveAfter = 250 * time.Millisecond
		back       = 2 * time.Second
		again      = 1500 * time.Millisecond
		times      = 20
		contact    = 3 * time.Second
		lateMax    = 3 // the rule allows three
	)
	routes := []route{
		{name: "r-stock", host: "shop.example", prefix: "/stock/", kind: "idempotent", timeout: "3000ms", service: "stock", attempts: 1},
		{name: "r-orders", host: "shop.example", prefix: "/orders/", kind: "non_idempotent", timeout: "3000ms", service: "stock", attempts: 2},
	}
	tenants := []tenant{{name: "golf", keys: []string{"key-golf-1"}}, {name: "hotel", keys: []string{"key-hotel-1"}}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	mu := sync.Mutex{}
	crashes := []time.Time{}
	runs := []time.Time{}
	poison := func(b *backend, r *http.Request) bool {
		if !strings.HasSuffix(r.URL.Path, "/poison") {
			return false
		}
		id := b.identity()
		log.linef("%s begins to run the request %s that crashes it", id, r.Header.Get(headerAttempt))
		mu.Lock()
		runs = append(runs, time.Now())
		mu.Unlock()
		time.Sleep(crashAfter)
		if b.identity() == id {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			log.linef("%s crashes", id)
			b.crash(ctx, back)
		}
		return true
	}
	c, err := newCluster(spec{services: []string{"stock", "stock", "stock", "stock", "prices"}, slots: 32, work: 100 * time.Millisecond, body: []byte("done"), onPath: poison},
		configuration("00000001", routes, []string{"stock", "prices"}, tenants), log)
	defer c.stop()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	group := sync.WaitGroup{}
	statuses := map[int]int{}
	for i := range 8 {
		m := c.machines[i%4]
		group.Go(func() {
			k := &client{address: m.outbound}
			defer k.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				a := k.do(request{method: "POST", host: "shop.example", path: "/orders/new", attempt: newAttempt(), key: "key-golf-1", body: "one order"}, 5*time.Second)
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
			}
		})
	}
	for range times {
		k := &client{address: c.machines[4].outbound}
		timeout := 5 * time.Second
		if trouble {
			timeout = leaveAfter
		}
		r := request{method: "GET", host: "shop.example", path: "/stock/poison", attempt: newAttempt(), key: "key-hotel-1"}
		a := k.do(r, timeout)
		k.close()
		log.linef("sent %s: status %d, error %v", r.attempt, a.status, a.err)
		time.Sleep(again)
	}
	close(stop)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, at := range runs {
			if at.Sub(crashes[2]) > contact {
				late++
			}
		}
	}
	log.linef("orders by status: %v", statuses)
	log.linef("%d runs and %d crashes of the request, %d runs later than %v after the third crash", len(runs), len(crashes), late, contact)
	return late > lateMax, nil
}
