package main

import (
	"math"
	"math/rand/v2"
	"net/http"
	"time"
)

// One of the four backends spoils this share of its answers.
const (
	spoiledShare = 0.02
	spoilTime    = 5500 * time.Millisecond
)

// noReceipt lets one backend hand out answers in which one byte is wrong: it is in the name of the receipt's header.
func noReceipt(f *fleet, trouble bool) (*verdict, error) {
	for range 4 {
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
	spoiling := f.machines[0].backendNow()
	if trouble {
		spoiling.setSpoiling(spoiledShare)
		v.note("%.3f s: backend %s begins to spoil %g of its answers", time.Since(f.started).Seconds(), spoiling.id, spoiledShare)
	}
	done := make(chan struct{})
	for _, m := range f.machines {
		f.group.Go(func() { f.attempts.load(m, 200, 20, http.MethodPost, "/pay/1", "key1", 2*time.Second, done) })
	}
	time.Sleep(spoilTime)
	spoiling.setSpoiling(0)
	close(done)
	f.group.Wait()
	successes := 0
	for _, a := range f.attempts.all() {
		if a.status < http.StatusOK || a.status >= http.StatusMultipleChoices {
			continue
		}
		successes++
		if a.receipt == "" {
			v.breaks("MIXED: request %s (%s %s at %s) got a success (%d) without the backend's receipt", a.id, a.method, a.path, a.machine, a.status)
		}
	}
	v.note("%d requests, %d successes", len(f.attempts.all()), successes)
	return v, nil
}

// setSpoiling sets the share of its answers that the backend spoils.
func (b *backend) setSpoiling(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spoiling = share
}

// receiptName returns the name of the receipt's header, in which one byte is wrong if the answer is spoiled.
func (b *backend) receiptName() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	name := []byte(headerReceipt)
	b.answers++
	if b.spoiling > 0 && b.answers%int(math.Round(1/b.spoiling)) == 0 {
		name[len(name)-1-rand.IntN(len("Signature"))] = 'z'
	}
	return string(name)
}
