package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { plays["late-ping"] = playLatePing }

// playLatePing stops and starts a node while its backend server, whose departure was acknowledged, still serves; a ping
// that the backend server sent before its departure arrives after that. It looks for work that reaches the backend server
// later than the bound after the ack.
func playLatePing(log *record, trouble bool) (bool, error) {
	const (
		drain  = 2 * time.Second
		serves = 8 * time.Second
	)
	routes := []route{{name: "r-stock", host: "shop.example", prefix: "/stock/", kind: "idempotent", timeout: "3000ms", service: "stock", attempts: 2}}
	tenants := []tenant{{name: "golf", keys: []string{"key-golf-1"}}}
	c, err := newCluster(spec{services: []string{"stock", "stock", "stock"}, slots: 32, work: 20 * time.Millisecond, body: []byte("done")},
		configuration("00000001", routes, []string{"stock"}, tenants), log)
	defer c.stop()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	group := sync.WaitGroup{}
	for _, m := range c.machines[1:] {
		for range 4 {
			group.Go(func() {
				k := &client{address: m.outbound}
				defer k.close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					_ = k.do(request{method: "GET", host: "shop.example", path: "/stock/list", attempt: newAttempt(), key: "key-golf-1"}, 5*time.Second)
				}
			})
		}
	}
	time.Sleep(time.Second)
	m := c.machines[0]
	b := m.backend
	late := b.ping("ready")
	log.linef("%s sends a ping, which is held up on the way", b.id)
	acked, err := b.deregister()
	if err != nil {
		return false, err
	}
	log.linef("the departure of %s is acknowledged by %s", b.id, m.name)
	if trouble {
		log.linef("SIGTERM to %s", m.name)
		m.end(syscall.SIGTERM)
		log.linef("%s has ended; it is started again", m.name)
		time.Sleep(restartDelay)
		if err := m.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(acked.Add(3500 * time.Millisecond)))
	for range 40 {
		status, err := b.send("Heartbeat", late)
		log.linef("the ping that was held up arrives: status %d, error %v", status, err)
		if err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Until(acked.Add(serves)))
	close(stop)
	group.Wait()
	early, later := 0, 0
	for _, r := range c.allRuns() {
		if r.backend != b.id {
			continue
		}
		after := r.at.Sub(acked)
		if after > drain {
			later++
			log.linef("run %s at %s, %.3f s after the ack", r.attempt, r.backend, after.Seconds())
			continue
		}
		early++
	}
	log.linef("%d runs at %s up to %v after the ack, %d later", early, b.id, drain, later)
	return later > 0, nil
}
