package planner

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/storer"
	"github.com/chivegauge/chivegauge/internal/cluster/replicator"
	"github.com/chivegauge/chivegauge/internal/cluster/surveyor"
	"github.com/go-faster/errors"
)

const (
	readBackTries = 5
	readBackPause = 200 * time.Millisecond
)

// ErrOutcomeUnknown is returned when the store took a change and neither its answer nor its state could be read.
var ErrOutcomeUnknown = errors.New("the store did not say whether the change took effect; confirm the same plan again")

// ErrStore is returned when the store can't be reached; nothing was changed.
var ErrStore = errors.New("the store can't be reached")

// Fleet is where a written configuration is told.
type Fleet interface {
	Offer(d replicator.Document) error
}

// Planner makes plans on the stored configuration and applies them.
type Planner interface {
	// Plan returns the plan of the intents on the configuration in the store.
	Plan(ctx context.Context, intents []Intent) (Plan, error)
	// Confirm applies the plan if its base still holds and returns the new revision; it may be called again.
	Confirm(ctx context.Context, now time.Time, p Plan, operator string) (uint64, error)
}

// Survey returns the state and load of each member.
type Survey func(ctx context.Context) surveyor.Status

// InForce returns the configuration in force at this node.
type InForce func() chivegauge.Configuration

type planner struct {
	store   storer.Store
	name    string
	fleet   Fleet
	survey  Survey
	inForce InForce
}

// stored is what the store holds; an unreadable one is stood for by the configuration in force here.
type stored struct {
	config     chivegauge.Configuration
	version    uint64
	unreadable error
}

// New returns a planner of the document of the name in the store; a stored document that
// can't be read is replaced on the base of the configuration in force.
func New(s storer.Store, name string, f Fleet, m Survey, c InForce) Planner {
	return &planner{
		store:   s,
		name:    name,
		fleet:   f,
		survey:  m,
		inForce: c,
	}
}

// Plan returns the plan of the intents.
func (p *planner) Plan(ctx context.Context, intents []Intent) (Plan, error) {
	st, err := p.read(ctx)
	if err != nil {
		return Plan{}, err
	}
	id := make([]byte, 12)
	_, _ = rand.Read(id)
	measured := Measured{
		Members: p.survey(ctx).Members,
	}
	plan, err := Make(st.config, intents, measured, hex.EncodeToString(id))
	if err == nil && st.unreadable != nil {
		plan.Warnings = append(plan.Warnings, "the stored configuration can't be read ("+st.unreadable.Error()+"); confirming replaces it")
	}
	return plan, err
}

// Confirm applies the plan once, however often it is called.
func (p *planner) Confirm(ctx context.Context, now time.Time, plan Plan, operator string) (uint64, error) {
	st, err := p.read(ctx)
	if err != nil {
		return 0, err
	}
	if revision, ok := Applied(st.config, plan); ok {
		return revision, nil
	}
	next, err := Apply(now, st.config, plan, operator)
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, errors.Wrap(err, "encode configuration")
	}
	if len(value) > storer.ValueMaxBytes {
		return 0, errors.Errorf("the configuration would hold %d bytes, the store takes %d", len(value), storer.ValueMaxBytes)
	}
	o, err := p.store.Put(ctx, p.name, value, st.version)
	if err != nil {
		return p.readBack(ctx, plan, err)
	}
	return next.Revision, p.tell(o)
}

func (p *planner) tell(o storer.Object) error {
	return p.fleet.Offer(replicator.Document{
		Name:    p.name,
		Version: o.Version,
		Value:   o.Value,
	})
}

// readBack finds out whether a write took effect whose answer was lost or that met another one.
func (p *planner) readBack(ctx context.Context, plan Plan, cause error) (uint64, error) {
	for range readBackTries {
		st, err := p.read(ctx)
		c := st.config
		if err != nil {
			select {
			case <-ctx.Done():
				return 0, ErrOutcomeUnknown
			case <-time.After(readBackPause):
			}
			continue
		}
		if revision, ok := Applied(c, plan); ok {
			return revision, nil
		}
		if c.Revision != plan.BaseRevision || errors.Is(cause, storer.ErrConflict) {
			return 0, stale(c, plan)
		}
		return 0, ErrOutcomeUnknown
	}
	return 0, ErrOutcomeUnknown
}

func (p *planner) read(ctx context.Context) (stored, error) {
	o, err := p.store.Get(ctx, p.name)
	if errors.Is(err, storer.ErrNotFound) {
		return stored{}, nil
	}
	if err != nil {
		return stored{}, errors.Wrap(ErrStore, err.Error())
	}
	c, err := chivegauge.DecodeConfiguration(o.Value)
	if err != nil {
		c = p.inForce()
	}
	return stored{
		config:     c,
		version:    o.Version,
		unreadable: err,
	}, nil
}
