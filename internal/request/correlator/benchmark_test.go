package correlator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/correlator"
)

// BenchmarkAttribute measures a run and one call by it while other requests on two routes run.
func BenchmarkAttribute(b *testing.B) {
	for _, running := range []int{16, 200} {
		b.Run(fmt.Sprintf("%d running", running), func(b *testing.B) {
			c := correlator.New()
			for n := range running {
				c.Begin([]string{"outer", "beside"}[n%2], chivegauge.Normal, start.Add(time.Duration(n)*10*time.Millisecond))
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				deadline := start.Add(time.Duration(n%2000) * time.Millisecond)
				id := c.Begin("outer", chivegauge.Normal, deadline)
				c.Attribute(start, inner, deadline)
				c.End(id)
			}
		})
	}
}
