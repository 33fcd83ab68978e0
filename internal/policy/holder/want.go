package holder

import (
	"sort"
	"time"

	"github.com/chivegauge/chivegauge/internal/policy/keeper"
)

// Draws returns draws for what is missing, from a few slots in turn.
func (h *holder) Draws(now time.Time, workspace string, urgent bool) []keeper.Draw {
	a := h.accounts[workspace]
	if a == nil {
		return nil
	}
	stock := a.stock(now)
	target := a.target()
	if !urgent && stock >= target*refillPart {
		return nil
	}
	var draws []keeper.Draw
	want := max(whole, target-stock)
	for _, slot := range h.order(now, a) {
		if len(draws) == drawsAtOnce {
			break
		}
		draws = append(draws, a.draw(now, workspace, slot, want))
	}
	return draws
}

// order returns the slots that may be asked: those kept here, then those whose keepers know least of what was spent.
func (h *holder) order(now time.Time, a *account) []int {
	var first, rest []int
	for n := range a.slots {
		slot := a.slots[(n+a.next)%len(a.slots)]
		l := a.loan(slot)
		if l.asking || now.Before(l.dry) {
			continue
		}
		if h.prefer(slot) {
			first = append(first, slot)
			continue
		}
		rest = append(rest, slot)
	}
	a.next++
	sort.SliceStable(rest, func(i, j int) bool { return a.loans[rest[i]].unreported() > a.loans[rest[j]].unreported() })
	return append(first, rest...)
}

// target returns the tokens to hold for the demand seen.
func (a *account) target() float64 {
	return min(max(whole, a.demand*stockTime.Seconds()), max(whole, a.burst*stockBurstPart))
}

func (a *account) draw(now time.Time, workspace string, slot int, want float64) keeper.Draw {
	l := a.loan(slot)
	if !now.Before(l.ends) {
		l.reset(0)
	}
	l.asking = true
	return keeper.Draw{
		Workspace: workspace,
		Slot:      slot,
		Lease:     l.lease,
		Consumed:  l.consumed,
		Returned:  l.returned,
		Want:      want,
	}
}

// Idle gives back the tokens of workspaces without demand, debiting them first, and reports what was spent.
func (h *holder) Idle(now time.Time) []keeper.Draw {
	var draws []keeper.Draw
	for name, a := range h.accounts {
		idle := now.Sub(a.asked) >= idleTime
		for _, slot := range a.slots {
			l := a.loans[slot]
			if l == nil || l.asking || !now.Before(l.ends) {
				continue
			}
			if idle && l.tokens > tiny {
				l.returned += l.tokens
				l.tokens = 0
				draws = append(draws, a.draw(now, name, slot, 0))
				continue
			}
			if a.overdue(l, idle) {
				draws = append(draws, a.draw(now, name, slot, 0))
			}
		}
	}
	return draws
}

// overdue reports whether so much was spent unreported that the slot's bucket may stand still.
func (a *account) overdue(l *loan, idle bool) bool {
	spent := l.unreported()
	return spent > a.burst/float64(len(a.slots))*reportPart || (idle && spent > tiny)
}
