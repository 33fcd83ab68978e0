package heartbeater

import (
	"context"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/dialer"
	"github.com/chivegauge/chivegauge/internal/cluster/gossiper"
	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
	"github.com/chivegauge/chivegauge/internal/cluster/replicator"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/rs/zerolog"
)

const (
	helpers         = 2
	pushFanout      = 3
	stateFanout     = 12
	deadEvery       = 5
	fetchTimeout    = 2 * time.Second
	exchangeSlots   = 16
	helperTimeScale = 2
	meetingsMax     = 20000
)

// Config is the pace of the heartbeats.
type Config struct {
	Period  time.Duration
	Timeout time.Duration
}

// Heartbeater keeps membership and documents in step with the other nodes.
type Heartbeater interface {
	// Serve exchanges heartbeats until the context ends.
	Serve(ctx context.Context) error
	// Self returns the node's own member.
	Self() chivegauge.Member
	// Members returns all members known.
	Members() []chivegauge.Member
	// Service returns the members of a service.
	Service(name string) []chivegauge.Member
	// Learn takes in what was heard of a member.
	Learn(m chivegauge.Member)
	// Met returns when the first heartbeat was exchanged with the member's present process.
	Met(m chivegauge.Member) (time.Time, bool)
	// Lonely reports whether no other living member is known.
	Lonely() bool
	// SetState sets the node's own state and tells a number of members at once.
	SetState(s chivegauge.MemberState)
	// Offer takes in a document and tells a few members at once if it is news.
	Offer(d replicator.Document) error
	// Heartbeat, Probe and Fetch answer the calls of other nodes.
	Heartbeat(ctx context.Context, r *messenger.HeartbeatRequest) (*messenger.HeartbeatResponse, error)
	Probe(ctx context.Context, r *messenger.ProbeRequest) (*messenger.ProbeResponse, error)
	Fetch(ctx context.Context, r *messenger.FetchRequest) (*messenger.FetchResponse, error)
}

// meeting is the first exchange with a process of a member.
type meeting struct {
	process uint64
	at      time.Time
}

type heartbeater struct {
	cfg    Config
	now    func() time.Time
	dialer dialer.Dialer
	docs   replicator.Replicator
	load   Load
	log    zerolog.Logger

	mu    sync.Mutex
	table gossiper.Table
	whole bool
	met   map[string]meeting

	group sync.WaitGroup
	slots chan struct{}
}

// Load returns the load of the backend server beside the node.
type Load func() picker.Load

// New returns a heartbeater over a membership table, the replicated documents and the load to tell of.
func New(cfg Config, now func() time.Time, t gossiper.Table, d dialer.Dialer, docs replicator.Replicator, load Load, log zerolog.Logger) Heartbeater {
	return &heartbeater{
		cfg:    cfg,
		now:    now,
		dialer: d,
		docs:   docs,
		load:   load,
		log:    log,
		table:  t,
		met:    map[string]meeting{},
		slots:  make(chan struct{}, exchangeSlots),
	}
}

// Serve sends a heartbeat each period, and now and then one to a member taken for dead.
func (h *heartbeater) Serve(ctx context.Context) error {
	defer h.group.Wait()
	ticker := time.NewTicker(h.cfg.Period)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			h.round(ctx, n)
		}
	}
}

// Offer takes in a document and tells a few members if it is news.
func (h *heartbeater) Offer(d replicator.Document) error {
	taken, err := h.docs.Offer(d)
	if err != nil {
		h.log.Warn().Str("Document", d.Name).Uint64("Version", d.Version).Err(err).Msg("document refused")
		return err
	}
	if taken {
		h.log.Info().Str("Document", d.Name).Uint64("Version", d.Version).Msg("document in force")
		h.push(pushFanout)
	}
	return nil
}

// SetState sets the node's own state and tells a number of members at once.
func (h *heartbeater) SetState(s chivegauge.MemberState) {
	h.mu.Lock()
	h.table.SetState(h.now(), s)
	h.mu.Unlock()
	h.push(stateFanout)
}

// Learn takes in what was heard of a member, and logs a change of its state.
func (h *heartbeater) Learn(m chivegauge.Member) {
	if m.Address == "" {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.Apply(h.now(), m) {
		h.log.Info().Str("Node", m.Address).Stringer("State", m.State).Msg("member changed")
	}
}

// isNews reports whether what is said of a member would change the table.
func (h *heartbeater) isNews(m chivegauge.Member) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.table.Member(m.Address)
	return !ok || m.Overrides(known)
}

// meet takes in a heartbeat of the member itself.
func (h *heartbeater) meet(m chivegauge.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.Address != "" && h.met[m.Address].process != m.Process() && len(h.met) < meetingsMax {
		h.met[m.Address] = meeting{
			process: m.Process(),
			at:      h.now(),
		}
	}
}

// Met returns when the first heartbeat was exchanged with the member's present process.
func (h *heartbeater) Met(m chivegauge.Member) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	met, ok := h.met[m.Address]
	return met.at, ok && met.process == m.Process()
}

// Self returns the node's own member.
func (h *heartbeater) Self() chivegauge.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Self()
}

// Members returns all members known.
func (h *heartbeater) Members() []chivegauge.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Members()
}

// Service returns the members of a service.
func (h *heartbeater) Service(name string) []chivegauge.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Service(name)
}

// Lonely reports whether no other living member is known.
func (h *heartbeater) Lonely() bool {
	self := h.Self().Address
	for _, m := range h.Members() {
		if m.Address != self && m.State < chivegauge.Left {
			return false
		}
	}
	return true
}
