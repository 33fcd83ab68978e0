package planner

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/storer"
	"github.com/chivegauge/chivegauge/internal/cluster/collector"
	"github.com/chivegauge/chivegauge/internal/cluster/replicator"
	"github.com/go-faster/errors"
)

const (
	// readBackTries is the number of reads after a write whose outcome is unknown, readBackPause the time between them.
	readBackTries = 5
	readBackPause = 200 * time.Millisecond
)

// ErrOutcomeUnknown is returned when a change was sent to the store and neither the response nor the stored state shows
// whether it took effect.
var ErrOutcomeUnknown = errors.New("the store did not say whether the change took effect; confirm the same plan again")

// ErrStore is returned when the store can't be reached; nothing was changed.
var ErrStore = errors.New("the store can't be reached")

// Publisher distributes a written configuration to the nodes.
type Publisher interface {
	Publish(d replicator.Document) error
}

// Planner makes plans for the stored configuration and applies them.
type Planner interface {
	// Plan returns the plan that applies the intents to the stored configuration.
	Plan(ctx context.Context, intents []Intent) (Plan, error)
	// Confirm applies the plan if the configuration is still at the plan's base revision, and returns the new revision; it
	// may be called again with the same plan.
	Confirm(ctx context.Context, now time.Time, p Plan, operator string) (uint64, error)
}

// CollectStatus returns the status of each member.
type CollectStatus func(ctx context.Context) collector.Status

// ActiveConfiguration returns the active configuration of this node.
type ActiveConfiguration func() chivegauge.Configuration

type planner struct {
	store     storer.Store
	name      string
	publisher Publisher
	collect   CollectStatus
	active    ActiveConfiguration
}

// stored is the stored configuration; if it can't be decoded, config is the active one and unreadable is the error.
type stored struct {
	config     chivegauge.Configuration
	version    uint64
	unreadable error
}

// New returns a planner for the named document in the store; if the stored document can't be decoded, plans are based
// on the active configuration and replace it.
func New(s storer.Store, name string, pub Publisher, c CollectStatus, a ActiveConfiguration) Planner {
	return &planner{
		store:     s,
		name:      name,
		publisher: pub,
		collect:   c,
		active:    a,
	}
}

// Plan returns the plan that applies the intents to the stored configuration.
func (p *planner) Plan(ctx context.Context, intents []Intent) (Plan, error) {
	st, err := p.read(ctx)
	if err != nil {
		return Plan{}, err
	}
	id := make([]byte, 12)
	_, _ = rand.Read(id)
	fleet := FleetStatus{
		Members: p.collect(ctx).Members,
	}
	plan, err := NewPlan(st.config, intents, fleet, hex.EncodeToString(id))
	if err == nil && st.unreadable != nil {
		plan.Warnings = append(plan.Warnings, "the stored configuration can't be read ("+st.unreadable.Error()+"); confirming replaces it")
	}
	return plan, err
}

// Confirm applies the plan at most once, however often it is called.
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
	return next.Revision, p.publish(o)
}

func (p *planner) publish(o storer.Object) error {
	return p.publisher.Publish(replicator.Document{
		Name:    p.name,
		Version: o.Version,
		Value:   o.Value,
	})
}

// readBack reads the store to find out whether a failed write of the plan took effect: its response may be lost, or
// another write may have come first.
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
			return 0, newStaleError(c, plan)
		}
		return 0, ErrOutcomeUnknown
	}
	return 0, ErrOutcomeUnknown
}

// read returns the stored configuration. If the store has come back from an older copy than this node knows, the active
// one is written again first.
func (p *planner) read(ctx context.Context) (stored, error) {
	st, err := p.get(ctx)
	active := p.active()
	if err != nil || st.unreadable != nil || st.config.Revision >= active.Revision {
		return st, err
	}
	value, err := json.Marshal(active)
	if err != nil {
		return stored{}, errors.Wrap(err, "encode configuration")
	}
	o, err := p.store.Put(ctx, p.name, value, st.version)
	if err != nil {
		return stored{}, errors.Wrapf(ErrStore, "it is back from an older copy, and revision %d is not written again: %v", active.Revision, err)
	}
	return stored{
		config:  active,
		version: o.Version,
	}, p.publish(o)
}

// get returns the configuration that the store holds.
func (p *planner) get(ctx context.Context) (stored, error) {
	o, err := p.store.Get(ctx, p.name)
	if errors.Is(err, storer.ErrNotFound) {
		return stored{}, nil
	}
	if err != nil {
		return stored{}, errors.Wrap(ErrStore, err.Error())
	}
	c, err := chivegauge.DecodeConfiguration(o.Value)
	if err != nil {
		c = p.active()
	}
	return stored{
		config:     c,
		version:    o.Version,
		unreadable: err,
	}, nil
}
