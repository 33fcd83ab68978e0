package syncer_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivegauge/chivegauge/internal/cluster/syncer"
	"github.com/matryer/is"
)

// TestNoProofFromOlderSource guards against a node that takes its keys for proved by a source that has come back from an
// older copy and holds an older configuration than the node: a newer one may be lost, too. The proof is back once the
// operator has written the configuration again.
func TestNoProofFromOlderSource(t *testing.T) {
	const lost = 10 * time.Second
	for cluster, names := range clusters {
		t.Run(cluster, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSource()
				z := startWith(t, s, nodeConfig(), io.Discard, names...)
				z.waitFor(t, "first version", hasVersion(1))
				s.put(2)
				z.waitFor(t, "next version", hasVersion(2))
				time.Sleep(2 * time.Second)
				s.comeBack(1, s.revision-1)
				returned := time.Now()
				time.Sleep(lost)
				for _, f := range z.nodes {
					is.True(f.Age() >= time.Since(returned))
					is.True(hasVersion(2)(f))
				}
				s.put(2)
				written := time.Now()
				z.waitFor(t, "a proof", func(f syncer.Syncer) bool { return f.Age() < keyLifetime })
				is.True(time.Since(written) <= changeTime)
			})
		})
	}
}
