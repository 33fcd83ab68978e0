package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	crashDown    = 2 * time.Second // from a crash of a backend until its next boot
	lateRunsMax  = 3
	poisonPeriod = 1500 * time.Millisecond
	poisonTime   = 24 * time.Second
)

// poison sends a request that crashes backends from several machines, again and again. One node is killed, and the store
// turns its machine away for some seconds, while the request crashes the first backends; later all nodes are killed at once.
func poison(f *fleet, trouble bool) (*verdict, error) {
	for range 5 {
		if _, err := f.add("z1", "till", 20, &backend{work: 50 * time.Millisecond}); err != nil {
			return nil, err
		}
	}
	keeper := f.machines[0]
	path := ""
	for n := 0; path == "" || heaviest(f.machines, fingerprint("gull", "read", "GET", path)) != keeper; n++ {
		path = fmt.Sprintf("/read/poison-%d", n)
	}
	f.putConfig(16, []route{{"read", "/read/", "idempotent", "till", false}}, []tenant{{"gull", []string{"key1"}, 0, 0}})
	if err := f.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	v := &verdict{}
	turnedAway := time.Time{}
	if trouble {
		keeper.gate.busy.Store(envInt("TURN_AWAY", 1) != 0)
		v.note("%.3f s: the node of machine %s is killed; the store turns the machine away: %t", time.Since(f.started).Seconds(), keeper.name, keeper.gate.busy.Load())
		turnedAway = time.Now()
		<-keeper.signal(syscall.SIGKILL)
		time.Sleep(200 * time.Millisecond)
		if err := f.startNode(keeper, false); err != nil {
			return nil, err
		}
		f.disturb(keeper.name, turnedAway)
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	killed := time.Time{}
	senders := f.machines[1:]
	client := newHTTPClient()
	for time.Since(began) < poisonTime {
		next := time.Now().Add(poisonPeriod)
		if trouble && keeper.gate.busy.Load() && time.Since(began) > 4*time.Second {
			keeper.gate.busy.Store(false)
			f.disturb("", turnedAway)
			v.note("%.3f s: the store serves machine %s again", time.Since(f.started).Seconds(), keeper.name)
		}
		if trouble && killed.IsZero() && time.Since(began) > 9*time.Second {
			killed = time.Now()
			senders = f.machines
			if err := f.killAll(v); err != nil {
				return nil, err
			}
			for _, m := range f.machines {
				f.disturb(m.name, killed)
			}
			time.Sleep(contactTime + 500*time.Millisecond)
			next = time.Now().Add(poisonPeriod)
		}
		for _, m := range senders {
			f.group.Go(func() { f.attempts.send(client, m, http.MethodGet, path, "key1", 2*time.Second) })
		}
		time.Sleep(time.Until(next))
	}
	f.group.Wait()
	f.checkPoison(v, path)
	return v, nil
}

// killAll kills all nodes at once, and starts them again.
func (f *fleet) killAll(v *verdict) error {
	v.note("%.3f s: all nodes are killed", time.Since(f.started).Seconds())
	exited := []<-chan struct{}{}
	for _, m := range f.machines {
		exited = append(exited, m.signal(syscall.SIGKILL))
	}
	for _, e := range exited {
		<-e
	}
	time.Sleep(200 * time.Millisecond)
	for _, m := range f.machines {
		if err := f.startNode(m, false); err != nil {
			return err
		}
	}
	return nil
}

// checkPoison counts the runs that machines in touch sent later than contactTime after the third backend had crashed.
func (f *fleet) checkPoison(v *verdict, path string) {
	sent := f.attempts.byID()
	third, count, late := time.Time{}, 0, 0
	crashed := map[string]bool{}
	for _, x := range f.runs.all() {
		if x.path != path {
			continue
		}
		count++
		crashed[x.backend] = true
		if len(crashed) == 3 && third.IsZero() {
			third = x.at.Add(f.machines[0].backendNow().work)
		}
		if at := sent[x.id].sentAt; !third.IsZero() && at.Sub(third) > contactTime && f.inTouch(sent[x.id].machine, at) {
			late++
			v.note("%.3f s: late run %d, %.1f s after the third crash, at %s, sent at %s", x.at.Sub(f.started).Seconds(), late, x.at.Sub(third).Seconds(), x.backend, sent[x.id].machine)
		}
	}
	v.note("%d runs, %d of them sent later than %s after the third crash; %d allowed", count, late, contactTime, lateRunsMax)
	if late > lateRunsMax {
		v.breaks("BUDGET: the request reached backends %d times later than %s after it had crashed the third", late, contactTime)
	}
}

// fingerprint returns the key by which nodes choose the one that keeps a refused request in the store.
func fingerprint(tenant, route, method, target string) string {
	return fmt.Sprint(xxh64(tenant + "|" + route + "|" + method + " " + target + "\n"))
}
