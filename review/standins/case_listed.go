package main

import (
	"time"
)

func init() { plays["listed-header"] = playListedHeader }

// playListedHeader sends requests whose Connection header lists the names of headers that the node sets, and checks
// what the backend servers get in them.
func playListedHeader(log *record, trouble bool) (bool, error) {
	const requests = 40
	routes := []route{{name: "r-orders", host: "shop.example", prefix: "/orders/", kind: "non_idempotent", timeout: "3000ms", service: "orders", attempts: 2}}
	tenants := []tenant{{name: "golf", keys: []string{"key-golf-1"}}, {name: "hotel", keys: []string{"key-hotel-1"}}}
	c, err := newCluster(spec{services: []string{"orders", "prices"}, slots: 32, work: 20 * time.Millisecond, body: []byte("done")},
		configuration("00000001", routes, []string{"orders", "prices"}, tenants), log)
	defer c.stop()
	if err != nil {
		return false, err
	}
	want := map[string][2]string{} // attempt to tenant and caller
	keyOf := map[string]string{"golf": "key-golf-1", "hotel": "key-hotel-1"}
	served := 0
	for i := range requests {
		m := c.machines[i%len(c.machines)]
		name := []string{"golf", "hotel"}[i/len(c.machines)%2]
		r := request{method: "POST", host: "shop.example", path: "/orders/new", attempt: newAttempt(), key: keyOf[name], body: "one order"}
		if trouble {
			r.header = []string{"Connection: keep-alive, " + headerTenant + ", " + headerCaller}
		} else {
			r.header = []string{"Connection: keep-alive"}
		}
		want[r.attempt] = [2]string{name, m.service}
		k := &client{address: m.outbound}
		a := k.do(r, 5*time.Second)
		k.close()
		if a.status == 200 {
			served++
		}
		log.linef("sent %s at %s, key of %s, %q: status %d, error %v", r.attempt, m.name, name, r.header, a.status, a.err)
	}
	wrong := 0
	for _, r := range c.allRuns() {
		w := want[r.attempt]
		ok := r.tenant == w[0] && r.caller == w[1]
		if !ok {
			wrong++
		}
		log.linef("run %s at %s: tenant %q (due %q), caller service %q (due %q), as due: %v", r.attempt, r.backend, r.tenant, w[0], r.caller, w[1], ok)
	}
	log.linef("%d of %d requests served, %d runs with a tenant or caller service that isn't the right one", served, requests, wrong)
	return wrong > 0, nil
}
