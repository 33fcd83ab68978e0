package main

import "time"

const revokeTime = 5 * time.Second

// publicKey sends requests with a key on a public route after the key was taken away.
func publicKey(f *fleet, trouble bool) (*verdict, error) {
	for range 3 {
		if _, err := f.add("z1", "till", 20, &backend{work: 5 * time.Millisecond}); err != nil {
			return nil, err
		}
	}
	routes := []route{{"pay", "/pay/", "non_idempotent", "till", false}, {"rules", "/rules/", "idempotent", "till", true}}
	f.putConfig(16, routes, []tenant{{"gull", []string{"key1", "key2"}, 0, 0}})
	if err := f.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	v := &verdict{}
	acked := time.Time{}
	if trouble {
		acked = f.putConfig(19, routes, []tenant{{"gull", []string{"key1"}, 0, 0}})
		v.note("%.3f s: ack of the config that takes key2 away", acked.Sub(f.started).Seconds())
	}
	client := newHTTPClient()
	for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(50 * time.Millisecond) {
		for _, m := range f.machines {
			f.attempts.send(client, m, "GET", "/rules/1", "key2", time.Second)
			f.attempts.send(client, m, "POST", "/pay/1", "key2", time.Second)
		}
	}
	checkRevoked(f, v, "key2", acked)
	return v, nil
}

// checkRevoked checks that no request with the key runs that was sent later than revokeTime after the ack.
func checkRevoked(f *fleet, v *verdict, key string, acked time.Time) {
	sent := f.attempts.byID()
	for _, x := range f.runs.all() {
		a := sent[x.id]
		if late := a.sentAt.Sub(acked); a.key == key && !acked.IsZero() && late > revokeTime {
			v.breaks("CONFIG: request %s (%s %s at %s) with %s, sent %.3f s after the ack of the config that took the key away, ran", a.id, a.method, a.path, a.machine, key, late.Seconds())
		}
	}
}
