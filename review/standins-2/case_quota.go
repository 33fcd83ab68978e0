package main

import (
	"fmt"
	"syscall"
	"time"
)

// The allowance of the tenant, and the bounds of the rule.
const (
	quotaMachines  = 10
	quotaRate      = 300.0
	quotaBurst     = 300.0
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
)

// The tenant asks for 7.5 times its usual rate, which is its allowance divided by 1.6; the machine freezes this often, for
// this long and with this pause between.
const (
	askedPerMachine = 140.0
	askedTime       = 6500 * time.Millisecond
	freezes         = 3
	freezeTime      = 1200 * time.Millisecond
	freezePause     = 300 * time.Millisecond
)

// quotaFreeze freezes the machine whose node grants the tokens of a tenant that asks for more than its allowance.
func quotaFreeze(f *fleet, trouble bool) (*verdict, error) {
	for range quotaMachines {
		if _, err := f.add("z1", "till", 100, &backend{work: 5 * time.Millisecond}); err != nil {
			return nil, err
		}
	}
	owner := f.machines[0]
	name := ""
	for n := 0; name == "" || heaviest(f.machines, name) != owner; n++ {
		name = fmt.Sprintf("tenant%d", n)
	}
	f.putConfig(16, []route{{"pay", "/pay/", "idempotent", "till", false}}, []tenant{{name, []string{"key1"}, quotaRate, quotaBurst}})
	if err := f.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	done := make(chan struct{})
	for _, m := range f.machines {
		f.group.Go(func() { f.attempts.load(m, askedPerMachine, 200, "GET", "/pay/1", "key1", 2*time.Second, done) })
	}
	began := time.Now()
	v := &verdict{}
	v.note("%.3f s: %s begins to ask for more than its allowance; machine %s grants its tokens", time.Since(f.started).Seconds(), name, owner.name)
	for range freezes {
		time.Sleep(freezePause)
		if trouble {
			v.note("%.3f s: machine %s freezes for %s", time.Since(f.started).Seconds(), owner.name, freezeTime)
			owner.signal(syscall.SIGSTOP)
		}
		time.Sleep(freezeTime)
		if trouble {
			owner.signal(syscall.SIGCONT)
		}
	}
	time.Sleep(time.Until(began.Add(askedTime)))
	close(done)
	f.group.Wait()
	checkQuota(f, v, name, quotaRate, quotaBurst)
	return v, nil
}

// checkQuota checks each window for the runs of requests that were sent and run in it.
func checkQuota(f *fleet, v *verdict, name string, rate, burst float64) {
	sent := f.attempts.byID()
	allowed := (rate*quotaWindow.Seconds()+burst)*(1+quotaOvershoot) + quotaSlack
	list := f.runs.all()
	most, at := 0, time.Time{}
	for _, from := range list {
		start := sent[from.id].sentAt
		n := 0
		for _, x := range list {
			if x.tenant == name && !sent[x.id].sentAt.Before(start) && x.at.Sub(start) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, start
		}
	}
	v.note("at most %d requests of %s were sent and run in %s from %.3f s; allowed %.0f", most, name, quotaWindow, at.Sub(f.started).Seconds(), allowed)
	if float64(most) > allowed {
		v.breaks("QUOTA: %d requests of %s were sent and run in %s; allowed %.0f", most, name, quotaWindow, allowed)
	}
}
