package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	configApply = 2 * time.Second
	contactTime = 3 * time.Second
)

// The store is away for awayTime; there is changePause between the changes of the config before that.
var (
	awayTime    = time.Duration(envInt("AWAY_MS", 50)) * time.Millisecond
	changePause = time.Duration(envInt("PAUSE_MS", 900)) * time.Millisecond
)

// drill brings the store back from a copy that lacks the last two changes of the config. The operator writes the newest
// config again, and then one that takes a key away and adds a route.
func drill(f *fleet, trouble bool) (*verdict, error) {
	for n := range 4 {
		if _, err := f.add(fmt.Sprintf("z%d", n+1), "till", 20, &backend{work: 5 * time.Millisecond}); err != nil {
			return nil, err
		}
	}
	pay := route{"pay", "/pay/", "non_idempotent", "till", false}
	refund := route{"refund", "/refund/", "non_idempotent", "till", false}
	both := []tenant{{"gull", []string{"key1", "key2"}, 0, 0}}
	f.putConfig(16, []route{pay}, both)
	if err := f.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	v := &verdict{}
	saved := f.store.save()
	for version := 17; version <= 18; version++ {
		time.Sleep(changePause)
		f.putConfig(version, []route{pay}, both)
	}
	time.Sleep(changePause)
	again := configSpec(18, []route{pay}, both)
	next := configSpec(19, []route{pay, refund}, []tenant{{"gull", []string{"key1"}, 0, 0}})
	if trouble {
		v.note("%.3f s: the store is away", time.Since(f.started).Seconds())
		away := time.Now()
		f.store.goAway()
		time.Sleep(awayTime)
		f.store.comeBack(saved, func(put func(kind, name string, spec []byte)) {
			put("config", "main", again)
			put("config", "main", next)
		})
		f.disturb("", away)
		v.note("%.3f s: the store is back from a copy that is %s old", time.Since(f.started).Seconds(), 3*changePause)
	} else {
		f.store.write("config", "main", next)
	}
	acked := time.Now()
	v.note("%.3f s: ack of the config that takes key2 away and adds the route of /refund/", acked.Sub(f.started).Seconds())
	done := make(chan struct{})
	for _, m := range f.machines {
		f.group.Go(func() { f.attempts.load(m, 10, 10, http.MethodPost, "/pay/1", "key2", time.Second, done) })
		f.group.Go(func() { f.attempts.load(m, 10, 10, http.MethodPost, "/refund/1", "key1", time.Second, done) })
	}
	time.Sleep(15 * time.Second)
	close(done)
	f.group.Wait()
	checkRevoked(f, v, "key2", acked)
	for _, a := range f.attempts.all() {
		if late := a.sentAt.Sub(acked); a.path == "/refund/1" && a.status == http.StatusNotFound && late > configApply && f.inTouch(a.machine, a.sentAt) {
			v.breaks("CONFIG: request %s (%s %s at %s), sent %.3f s after the ack of the config with its route, was answered 404", a.id, a.method, a.path, a.machine, late.Seconds())
		}
	}
	return v, nil
}
