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
	// indirectProbes is the number of members through which a member that does not respond is probed.
	indirectProbes = 2

	// pushFanout and stateFanout are the numbers of members that are sent a heartbeat at once after a new document and
	// after a change of the node's own state.
	pushFanout  = 3
	stateFanout = 12

	// deadProbeRounds is the number of rounds between two heartbeats to members that are marked dead.
	deadProbeRounds = 5

	fetchTimeout = 2 * time.Second

	// exchangesMax is the number of exchanges in flight above which further ones are dropped.
	exchangesMax = 16

	// indirectTimeoutFactor multiplies the timeout of a heartbeat to get that of the indirect probes.
	indirectTimeoutFactor = 2

	// contactsMax bounds the number of members whose first contact is kept.
	contactsMax = 20000
)

// Config holds the period of the heartbeats and the timeout of one.
type Config struct {
	Period  time.Duration
	Timeout time.Duration
}

// Heartbeater synchronizes the membership and the replicated documents with the other nodes.
type Heartbeater interface {
	// Serve exchanges heartbeats until the context ends.
	Serve(ctx context.Context) error
	// Self returns the node's own member.
	Self() chivegauge.Member
	// Members returns all known members.
	Members() []chivegauge.Member
	// Service returns the members of a service.
	Service(name string) []chivegauge.Member
	// Merge applies a membership update.
	Merge(m chivegauge.Member)
	// KnownSince returns when the first heartbeat was exchanged with the member's current process, or false if none was.
	KnownSince(m chivegauge.Member) (time.Time, bool)
	// Alone reports whether no other live member is known.
	Alone() bool
	// SetState sets the node's own state and sends heartbeats to several members at once.
	SetState(s chivegauge.MemberState)
	// Active returns the active version of a document, or false if there is none.
	Active(name string) (replicator.Document, bool)
	// Publish applies a document; if it is newer, heartbeats are sent to a few members at once.
	Publish(d replicator.Document) error
	// Heartbeat, Probe and Fetch handle the calls of other nodes.
	Heartbeat(ctx context.Context, r *messenger.HeartbeatRequest) (*messenger.HeartbeatResponse, error)
	Probe(ctx context.Context, r *messenger.ProbeRequest) (*messenger.ProbeResponse, error)
	Fetch(ctx context.Context, r *messenger.FetchRequest) (*messenger.FetchResponse, error)
}

// contact is the time of the first heartbeat exchanged with a process of a member.
type contact struct {
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
	// synced is set once a heartbeat has been exchanged; until then the full table is requested.
	synced   bool
	contacts map[string]contact

	group    sync.WaitGroup
	inFlight chan struct{}
}

// Load returns the load of the node's backend server.
type Load func() picker.Load

// New returns a heartbeater for the membership table and the replicated documents; its responses report the load.
func New(cfg Config, now func() time.Time, t gossiper.Table, d dialer.Dialer, docs replicator.Replicator, load Load, log zerolog.Logger) Heartbeater {
	return &heartbeater{
		cfg:      cfg,
		now:      now,
		dialer:   d,
		docs:     docs,
		load:     load,
		log:      log,
		table:    t,
		contacts: map[string]contact{},
		inFlight: make(chan struct{}, exchangesMax),
	}
}

// Serve sends a heartbeat each period, and less often one to a member that is marked dead.
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

// Active returns the active version of a document.
func (h *heartbeater) Active(name string) (replicator.Document, bool) {
	return h.docs.Active(name)
}

// Publish applies a document and sends heartbeats to a few members if it is newer.
func (h *heartbeater) Publish(d replicator.Document) error {
	applied, err := h.docs.Update(d)
	if err != nil {
		h.log.Warn().Str("Document", d.Name).Uint64("Version", d.Version).Err(err).Msg("document refused")
		return err
	}
	if applied {
		h.log.Info().Str("Document", d.Name).Uint64("Version", d.Version).Msg("document in force")
		h.push(pushFanout)
	}
	return nil
}

// SetState sets the node's own state and sends heartbeats to several members at once.
func (h *heartbeater) SetState(s chivegauge.MemberState) {
	h.mu.Lock()
	h.table.SetState(h.now(), s)
	h.mu.Unlock()
	h.push(stateFanout)
}

// Merge applies a membership update and logs a change; an update without an address is ignored.
func (h *heartbeater) Merge(m chivegauge.Member) {
	if m.Address == "" {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table.Apply(h.now(), m) {
		h.log.Info().Str("Node", m.Address).Stringer("State", m.State).Msg("member changed")
	}
}

// overridesKnown reports whether an update of a member would change the table.
func (h *heartbeater) overridesKnown(m chivegauge.Member) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.table.Member(m.Address)
	return !ok || m.Overrides(known)
}

// recordContact records the time of the first heartbeat of each process of a member.
func (h *heartbeater) recordContact(m chivegauge.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.Address != "" && h.contacts[m.Address].process != m.Process() && len(h.contacts) < contactsMax {
		h.contacts[m.Address] = contact{
			process: m.Process(),
			at:      h.now(),
		}
	}
}

// KnownSince returns when the first heartbeat was exchanged with the member's current process, or false if none was.
func (h *heartbeater) KnownSince(m chivegauge.Member) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := h.contacts[m.Address]
	return c.at, ok && c.process == m.Process()
}

// Self returns the node's own member.
func (h *heartbeater) Self() chivegauge.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Self()
}

// Members returns all known members.
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

// Alone reports whether no other live member is known.
func (h *heartbeater) Alone() bool {
	self := h.Self().Address
	for _, m := range h.Members() {
		if m.Address != self && m.State < chivegauge.Left {
			return false
		}
	}
	return true
}
