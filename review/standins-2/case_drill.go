package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	copyAge     = 7 * time.Second        // how old the copy is from which the store comes back
	awayTime    = 500 * time.Millisecond // how long the store is away
	rewriteTime = time.Second            // from the return of the store until the operator has written the config again
)

// drill takes a key away, brings the store back from a copy from before that, and kills one node, which starts again.
func drill(f *fleet, trouble bool) (*verdict, error) {
	for n := range 4 {
		if _, err := f.add(fmt.Sprintf("z%d", n+1), "till", 20, &backend{work: 5 * time.Millisecond}); err != nil {
			return nil, err
		}
	}
	routes := []route{{"pay", "/pay/", "non_idempotent", "till", false}}
	f.putConfig(16, routes, []tenant{{"gull", []string{"key1", "key2"}, 0, 0}})
	if err := f.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	v := &verdict{}
	saved := f.store.save()
	time.Sleep(200 * time.Millisecond)
	spec := configSpec(19, routes, []tenant{{"gull", []string{"key1"}, 0, 0}})
	f.store.write("config", "main", spec)
	acked := time.Now()
	v.note("%.3f s: ack of the config that takes key2 away", acked.Sub(f.started).Seconds())
	done := make(chan struct{})
	for _, m := range f.machines {
		for _, key := range []string{"key1", "key2"} {
			f.group.Go(func() { f.attempts.load(m, 20, 10, "POST", "/pay/1", key, time.Second, done) })
		}
	}
	time.Sleep(copyAge - awayTime)
	if trouble {
		if err := f.playDrill(v, saved, spec); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	close(done)
	f.group.Wait()
	checkRevoked(f, v, "key2", acked)
	return v, nil
}

// playDrill takes the store away, brings it back from the copy, and restarts the node of the first machine; then the
// operator writes the config again.
func (f *fleet) playDrill(v *verdict, saved image, spec []byte) error {
	f.store.stop()
	v.note("%.3f s: the store is away", time.Since(f.started).Seconds())
	time.Sleep(awayTime)
	if err := f.store.restart(saved); err != nil {
		return err
	}
	v.note("%.3f s: the store is back from a copy that is %s old", time.Since(f.started).Seconds(), copyAge)
	m := f.machines[0]
	<-m.signal(syscall.SIGKILL)
	v.note("%.3f s: node of %s killed and started again", time.Since(f.started).Seconds(), m.name)
	if err := f.startNode(m, false); err != nil {
		return err
	}
	time.Sleep(rewriteTime)
	f.store.write("config", "main", spec)
	v.note("%.3f s: the operator has written the config again", time.Since(f.started).Seconds())
	return nil
}
