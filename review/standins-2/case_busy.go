package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// One of the eight backends of the service fails this share of its requests.
const (
	greyMachines = 8
	greyShare    = 0.45
	greyTime     = 6 * time.Second
)

// ran503 lets one backend fail part of its requests, after it has run them, with a 503 that does not say that they were
// not run.
func ran503(f *fleet, trouble bool) (*verdict, error) {
	for range greyMachines {
		if _, err := f.add("z1", "till", 20, &backend{work: 10 * time.Millisecond}); err != nil {
			return nil, err
		}
	}
	f.putConfig(16, []route{{"pay", "/pay/", "non_idempotent", "till", false}}, []tenant{{"gull", []string{"key1"}, 0, 0}})
	if err := f.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	v := &verdict{}
	grey := f.machines[0].backendNow()
	if trouble {
		grey.setFailing(greyShare)
		v.note("%.3f s: backend %s begins to fail %g of its requests", time.Since(f.started).Seconds(), grey.id, greyShare)
	}
	done := make(chan struct{})
	for _, m := range f.machines {
		f.group.Go(func() { f.payments(m, done) })
	}
	time.Sleep(greyTime)
	grey.setFailing(0)
	close(done)
	f.group.Wait()
	f.checkRefused(v)
	return v, nil
}

// payments sends one payment after the other from a machine; each one is sent once more, as a new attempt, if its answer
// promises that it was not run.
func (f *fleet) payments(m *machine, done <-chan struct{}) {
	client := newHTTPClient()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(30 * time.Millisecond):
		}
		path := fmt.Sprintf("/pay/%s-%d", m.name, n)
		x := f.attempts.send(client, m, http.MethodPost, path, "key1", 2*time.Second)
		if promised[x.status] {
			time.Sleep(100 * time.Millisecond)
			f.attempts.send(client, m, http.MethodPost, path, "key1", 2*time.Second)
		}
	}
}

// promised are the statuses that promise that a request has not run and never will.
var promised = map[int]bool{
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
}

// checkRefused checks that no request ran whose answer promises that it did not run, and counts payments that ran twice.
func (f *fleet) checkRefused(v *verdict) {
	sent := f.attempts.byID()
	byPath := map[string]int{}
	for _, x := range f.runs.all() {
		byPath[x.path]++
		if a := sent[x.id]; promised[a.status] {
			v.breaks("REFUSED: request %s (%s %s) ran at %s and was answered %d", a.id, a.method, a.path, x.backend, a.status)
		}
	}
	twice := 0
	for _, n := range byPath {
		if n > 1 {
			twice++
		}
	}
	v.note("%d payments, %d of them ran twice since their clients sent them again after the answer", len(byPath), twice)
}

// setFailing sets the share of its requests that the backend fails with status 503 after it has run them.
func (b *backend) setFailing(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failing = share
}

func (b *backend) fails() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return rand.Float64() < b.failing
}
