package lessor_test

import (
	"testing"
	"time"

	"github.com/chivegauge/chivegauge/internal/policy/lessor"
	"github.com/matryer/is"
)

// TestLeasedTokensDoNotAccrue guards against a bucket that accrues tokens while its whole burst is leased: it leases
// the whole bucket and requests tokens again after the lease has expired, with and without sweeps meanwhile.
func TestLeasedTokensDoNotAccrue(t *testing.T) {
	cases := map[string]int{
		"not swept":  0,
		"swept once": 1,
		"swept":      50,
	}
	for name, sweeps := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			leaseID := uint64(0)
			random := func() uint64 {
				leaseID++
				return leaseID
			}
			ls := lessor.New()
			list := workspaces()
			list[0].Spread = 1
			ls.Configure(start, list)
			slot := firstSlot(list)
			ls.Open(start, slot, true)
			first := ls.Grant(start, lessor.LeaseRequest{
				Workspace: workspace,
				Slot:      slot,
				Requested: burst,
			}, random)
			is.Equal(first.Granted, burst)
			for n := range sweeps {
				ls.Sweep(start.Add(lessor.LeaseRetention * time.Duration(n+1) / time.Duration(sweeps+1)))
			}
			after := 100 * time.Millisecond
			second := ls.Grant(start.Add(lessor.LeaseRetention+after), lessor.LeaseRequest{
				Workspace: workspace,
				Slot:      slot,
				Requested: burst,
			}, random)
			is.True(second.Granted <= perSecond*after.Seconds()+tolerance)
		})
	}
}
