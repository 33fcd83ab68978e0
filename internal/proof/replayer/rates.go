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

// tokenTolerance is the difference in rate tokens that counts as a rounding error.
const tokenTolerance = 1e-3

// rates replays the calls of a lessor. It checks that each recorded grant is reproduced and that the tokens leased
// from a slot never exceed the rate of the slot times the time since it was opened, plus its burst.
type rates struct {
	lessor     lessor.Lessor
	workspaces map[string]chivegauge.Workspace
	slots      map[int]*slotLeases
}

// slotLeases counts the tokens of one slot since it was opened: for each workspace those that are leased and not
// returned, and for each lease those that are returned.
type slotLeases struct {
	opened   time.Time
	leased   map[string]float64
	returned map[uint64]float64
}

func newRates() *rates {
	return &rates{
		lessor:     lessor.New(),
		workspaces: map[string]chivegauge.Workspace{},
		slots:      map[int]*slotLeases{},
	}
}

func (r *rates) replay(e recorder.Event) (string, error) {
	switch e.Call {
	case recorder.CallConfigure:
		return "", r.configure(e)
	case recorder.CallOpen:
		o := recorder.Open{}
		if err := json.Unmarshal(e.Input, &o); err != nil {
			return "", errors.Wrap(err, "decode opened slot")
		}
		r.lessor.Open(e.At, o.Slot, o.Fresh)
		r.slots[o.Slot] = &slotLeases{
			opened:   e.At,
			leased:   map[string]float64{},
			returned: map[uint64]float64{},
		}
		return "", nil
	case recorder.CallClose:
		slot := 0
		if err := json.Unmarshal(e.Input, &slot); err != nil {
			return "", errors.Wrap(err, "decode closed slot")
		}
		r.lessor.Close(slot)
		return "", nil
	case recorder.CallGrant:
		return r.grant(e)
	case recorder.CallImport:
		in := recorder.Import{}
		if err := json.Unmarshal(e.Input, &in); err != nil {
			return "", errors.Wrap(err, "decode imported slot")
		}
		r.lessor.Import(e.At, in.Slot, in.Buckets)
		return "", nil
	default:
		return "", errors.Errorf("unknown call %q", e.Call)
	}
}

func (r *rates) configure(e recorder.Event) error {
	var list []chivegauge.Workspace
	if err := json.Unmarshal(e.Input, &list); err != nil {
		return errors.Wrap(err, "decode workspaces")
	}
	r.lessor.Configure(e.At, list)
	for _, w := range list {
		before := r.workspaces[w.Name]
		w.RatePerSecond = max(w.RatePerSecond, before.RatePerSecond)
		w.Burst = max(w.Burst, before.Burst)
		r.workspaces[w.Name] = w
	}
	return nil
}

func (r *rates) grant(e recorder.Event) (string, error) {
	req := lessor.LeaseRequest{}
	recorded := lessor.Grant{}
	if err := json.Unmarshal(e.Input, &req); err != nil {
		return "", errors.Wrap(err, "decode lease request")
	}
	if err := json.Unmarshal(e.Output, &recorded); err != nil {
		return "", errors.Wrap(err, "decode grant")
	}
	g := r.lessor.Grant(e.At, req, func() uint64 { return recorded.Lease })
	if g.Owned != recorded.Owned || g.Lease != recorded.Lease || math.Abs(g.Granted-recorded.Granted) > tokenTolerance {
		return fmt.Sprintf("lease request of %s in slot %d: replayed grant %+v, recorded %+v", req.Workspace, req.Slot, g, recorded), nil
	}
	return r.checkBound(e, req, recorded), nil
}

// checkBound checks the tokens leased since the slot was opened, less those returned, against the tokens accrued.
func (r *rates) checkBound(e recorder.Event, req lessor.LeaseRequest, g lessor.Grant) string {
	w := r.workspaces[req.Workspace]
	slots := float64(len(chivegauge.SlotsOf(w)))
	l := r.slots[req.Slot]
	if l == nil {
		return ""
	}
	l.leased[req.Workspace] += g.Granted
	if more := req.Returned - l.returned[req.Lease]; more > 0 {
		l.returned[req.Lease] = req.Returned
		l.leased[req.Workspace] -= more
	}
	allowed := w.RatePerSecond/slots*e.At.Sub(l.opened).Seconds() + w.Burst/slots
	if leased := l.leased[req.Workspace]; leased > allowed+tokenTolerance {
		return fmt.Sprintf("%s in slot %d: %.3f tokens leased, %.3f allowed", req.Workspace, req.Slot, leased, allowed)
	}
	return ""
}
