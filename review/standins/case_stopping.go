package main

import (
	"syscall"
	"time"
)

func init() { plays["stopping-owner"] = playStoppingOwner }

// playStoppingOwner restarts the machines one after the other while a tenant sends more than its allowance; the clients
// of a machine send it no more work once it has not been ready in two checks. It counts what runs in any window.
func playStoppingOwner(log *record, trouble bool) (bool, error) {
	const (
		rate, burst = 150.0, 150.0
		before      = 500 * time.Millisecond
		length      = 6 * time.Second // in which the tenant sends
		rest        = 6 * time.Second // in which nobody sends, and the allowance fills up
		window      = 5 * time.Second
		limit       = (rate*5+burst)*1.1 + 20
	)
	routes := []route{{name: "r-stock", host: "shop.example", prefix: "/stock/", kind: "idempotent", timeout: "3000ms", service: "stock", attempts: 2}}
	tenants := []tenant{{name: "golf", keys: []string{"key-golf"}, rate: rate, burst: burst}}
	c, err := newCluster(spec{services: []string{"stock", "stock", "stock"}, slots: 100, work: 10 * time.Millisecond, body: []byte("done")},
		configuration("00000001", routes, []string{"stock"}, tenants), log)
	defer c.stop()
	if err != nil {
		return false, err
	}
	l := &load{sentAt: map[string]time.Time{}, statuses: map[int]int{}}
	for i, m := range c.machines {
		time.Sleep(rest)
		others := []*machine{}
		for j, o := range c.machines {
			if j != i {
				others = append(others, o)
			}
		}
		endOthers := l.begin(others, tenants)
		endHere := l.begin([]*machine{m}, tenants)
		end := time.Now().Add(length)
		time.Sleep(before)
		if !trouble {
			time.Sleep(time.Until(end))
			endHere()
			endOthers()
			continue
		}
		ended := make(chan struct{})
		log.linef("SIGTERM to %s", m.name)
		go func() {
			m.end(syscall.SIGTERM)
			log.linef("%s has ended", m.name)
			close(ended)
		}()
		for misses := 0; misses < 2; {
			time.Sleep(time.Second)
			if m.isReady() {
				misses = 0
				continue
			}
			misses++
			log.linef("%s is not ready", m.name)
		}
		endHere()
		log.linef("the clients of %s send it no more work", m.name)
		<-ended
		time.Sleep(restartDelay)
		if err := m.start(); err != nil {
			return false, err
		}
		time.Sleep(time.Until(end))
		endOthers()
	}
	log.linef("answers by status: %v", l.statuses)
	spans := []span{}
	for _, r := range c.allRuns() {
		if sent, ok := l.sentAt[r.attempt]; ok {
			spans = append(spans, span{sent: sent, arrived: r.at})
			log.linef("run of %s at %s at %.3f s, sent at %.3f s", r.attempt, r.backend, r.at.Sub(log.began).Seconds(), sent.Sub(log.began).Seconds())
		}
	}
	most, from := mostIn(spans, window)
	log.linef("at most %d requests sent and run in %v, from %.3f s on; the limit is %.0f", most, window, from.Sub(log.began).Seconds(), limit)
	return float64(most) > limit, nil
}
