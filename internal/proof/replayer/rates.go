package replayer

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/lessor"
	"github.com/chivegauge/chivegauge/internal/proof/recorder"
	"github.com/go-faster/errors"
)

const grantTolerance = 1e-3

// rates states: each grant comes out again, and what is lent of a slot never exceeds its rate times time plus its burst.
type rates struct {
	keeper     lessor.Lessor
	workspaces map[string]chivegauge.Workspace
	loans      map[int]*loans
}

// loans is what was lent of one slot since it was opened, by workspace, and what came back, by lease.
type loans struct {
	opened   time.Time
	lent     map[string]float64
	returned map[uint64]float64
}

func newRates() *rates {
	return &rates{
		keeper:     lessor.New(),
		workspaces: map[string]chivegauge.Workspace{},
		loans:      map[int]*loans{},
	}
}

func (k *rates) replay(e recorder.Event) (string, error) {
	switch e.Call {
	case recorder.CallConfigure:
		return "", k.configure(e)
	case recorder.CallOpen:
		o := recorder.Open{}
		if err := json.Unmarshal(e.Input, &o); err != nil {
			return "", errors.Wrap(err, "decode opening")
		}
		k.keeper.Open(e.At, o.Slot, o.Fresh)
		k.loans[o.Slot] = &loans{
			opened:   e.At,
			lent:     map[string]float64{},
			returned: map[uint64]float64{},
		}
		return "", nil
	case recorder.CallClose:
		slot := 0
		if err := json.Unmarshal(e.Input, &slot); err != nil {
			return "", errors.Wrap(err, "decode closing")
		}
		k.keeper.Close(slot)
		return "", nil
	case recorder.CallDraw:
		return k.draw(e)
	case recorder.CallImport:
		in := recorder.Import{}
		if err := json.Unmarshal(e.Input, &in); err != nil {
			return "", errors.Wrap(err, "decode takeover")
		}
		k.keeper.Import(e.At, in.Slot, in.Buckets)
		return "", nil
	default:
		return "", errors.Errorf("call %q is unknown", e.Call)
	}
}

func (k *rates) configure(e recorder.Event) error {
	var list []chivegauge.Workspace
	if err := json.Unmarshal(e.Input, &list); err != nil {
		return errors.Wrap(err, "decode workspaces")
	}
	k.keeper.Configure(e.At, list)
	for _, w := range list {
		before := k.workspaces[w.Name]
		w.RatePerSecond = max(w.RatePerSecond, before.RatePerSecond)
		w.Burst = max(w.Burst, before.Burst)
		k.workspaces[w.Name] = w
	}
	return nil
}

func (k *rates) draw(e recorder.Event) (string, error) {
	d := lessor.LeaseRequest{}
	recorded := lessor.Grant{}
	if err := json.Unmarshal(e.Input, &d); err != nil {
		return "", errors.Wrap(err, "decode draw")
	}
	if err := json.Unmarshal(e.Output, &recorded); err != nil {
		return "", errors.Wrap(err, "decode grant")
	}
	g := k.keeper.Grant(e.At, d, func() uint64 { return recorded.Lease })
	if g.Owned != recorded.Owned || g.Lease != recorded.Lease || math.Abs(g.Granted-recorded.Granted) > grantTolerance {
		return fmt.Sprintf("a draw of %s in slot %d was granted %+v, recorded %+v", d.Workspace, d.Slot, g, recorded), nil
	}
	return k.bound(e, d, recorded), nil
}

// bound checks the sum lent since the slot was opened against what accrued and what came back.
func (k *rates) bound(e recorder.Event, d lessor.LeaseRequest, g lessor.Grant) string {
	w := k.workspaces[d.Workspace]
	slots := float64(len(chivegauge.SlotsOf(w)))
	l := k.loans[d.Slot]
	if l == nil {
		return ""
	}
	l.lent[d.Workspace] += g.Granted
	if more := d.Returned - l.returned[d.Lease]; more > 0 {
		l.returned[d.Lease] = d.Returned
		l.lent[d.Workspace] -= more
	}
	allowed := w.RatePerSecond/slots*e.At.Sub(l.opened).Seconds() + w.Burst/slots
	if lent := l.lent[d.Workspace]; lent > allowed+grantTolerance {
		return fmt.Sprintf("%s in slot %d: %.3f lent of %.3f allowed", d.Workspace, d.Slot, lent, allowed)
	}
	return ""
}
