package lessee

import (
	"sort"
	"time"

	"github.com/chivegauge/chivegauge/internal/policy/lessor"
)

// LeaseRequests returns requests for the tokens missing to the target, from a few slots in round-robin order.
func (ls *lessee) LeaseRequests(now time.Time, workspace string, urgent bool) []lessor.LeaseRequest {
	a := ls.accounts[workspace]
	if a == nil {
		return nil
	}
	available := a.available(now)
	target := a.target()
	if !urgent && available >= target*refillFraction {
		return nil
	}
	var requests []lessor.LeaseRequest
	requested := max(oneToken, target-available)
	for _, slot := range ls.candidates(now, a) {
		if len(requests) == requestsMax {
			break
		}
		requests = append(requests, a.request(now, workspace, slot, requested))
	}
	return requests
}

// candidates returns the slots to which a request may be sent: those that this node owns first, then the others by the
// tokens spent but not yet reported to their owners, most first.
func (ls *lessee) candidates(now time.Time, a *account) []int {
	var local, remote []int
	for n := range a.slots {
		slot := a.slots[(n+a.nextSlot)%len(a.slots)]
		l := a.lease(slot)
		if l.pending || now.Before(l.retryAt) {
			continue
		}
		if ls.isLocal(slot) {
			local = append(local, slot)
			continue
		}
		remote = append(remote, slot)
	}
	a.nextSlot++
	sort.SliceStable(remote, func(i, j int) bool { return a.leases[remote[i]].unreported() > a.leases[remote[j]].unreported() })
	return append(local, remote...)
}

// target returns the number of tokens to keep available for the estimated demand.
func (a *account) target() float64 {
	return min(max(oneToken, a.demand*targetWindow.Seconds()), max(oneToken, a.burst*burstFraction))
}

func (a *account) request(now time.Time, workspace string, slot int, requested float64) lessor.LeaseRequest {
	l := a.lease(slot)
	if !now.Before(l.expires) {
		l.reset(0)
	}
	l.pending = true
	return lessor.LeaseRequest{
		Workspace: workspace,
		Slot:      slot,
		Lease:     l.id,
		Consumed:  l.consumed,
		Returned:  l.returned,
		Requested: requested,
	}
}

// ReturnIdle returns the tokens of workspaces without demand, debiting them first so that they can't be spent too, and
// reports the tokens spent.
func (ls *lessee) ReturnIdle(now time.Time) []lessor.LeaseRequest {
	var requests []lessor.LeaseRequest
	for name, a := range ls.accounts {
		idle := now.Sub(a.lastArrival) >= idleTimeout
		for _, slot := range a.slots {
			l := a.leases[slot]
			if l == nil || l.pending || !now.Before(l.expires) {
				continue
			}
			if idle && l.tokens > epsilon {
				l.returned += l.tokens
				l.tokens = 0
				requests = append(requests, a.request(now, name, slot, 0))
				continue
			}
			if a.reportDue(l, idle) {
				requests = append(requests, a.request(now, name, slot, 0))
			}
		}
	}
	return requests
}

// reportDue reports whether so many tokens were spent unreported that the slot's bucket, which counts them as leased,
// may stop accruing tokens.
func (a *account) reportDue(l *lease, idle bool) bool {
	spent := l.unreported()
	return spent > a.burst/float64(len(a.slots))*reportFraction || (idle && spent > epsilon)
}
