package heartbeater

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/dialer"
	"github.com/chivegauge/chivegauge/internal/cluster/gossiper"
	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
	"github.com/chivegauge/chivegauge/internal/cluster/replicator"
	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
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
	log    zerolog.Logger

	mu    sync.Mutex
	table gossiper.Table
	whole bool
	met   map[string]meeting

	group sync.WaitGroup
	slots chan struct{}
}

// New returns a heartbeater over a membership table and the replicated documents.
func New(cfg Config, now func() time.Time, t gossiper.Table, d dialer.Dialer, docs replicator.Replicator, log zerolog.Logger) Heartbeater {
	return &heartbeater{
		cfg:    cfg,
		now:    now,
		dialer: d,
		docs:   docs,
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

func (h *heartbeater) round(ctx context.Context, n int) {
	h.mu.Lock()
	h.table.Expire(h.now())
	target, ok := h.table.Target(rand.IntN)
	dead, deadOK := h.table.DeadTarget(rand.IntN)
	h.mu.Unlock()
	if ok {
		h.start(func() { h.check(ctx, target) })
	}
	if deadOK && (n%deadEvery == 0 || !ok) {
		h.start(func() { _ = h.exchange(ctx, dead.Address) })
	}
}

// start runs f in the group unless too many exchanges are under way.
func (h *heartbeater) start(f func()) {
	select {
	case h.slots <- struct{}{}:
	default:
		return
	}
	h.group.Go(func() {
		defer func() { <-h.slots }()
		f()
	})
}

// check exchanges heartbeats with the member, then through helpers, and suspects it if both fail.
func (h *heartbeater) check(ctx context.Context, m chivegauge.Member) {
	if h.exchange(ctx, m.Address) == nil || h.reachedByHelper(ctx, m) || ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.Suspect(h.now(), m.Address)
}

func (h *heartbeater) reachedByHelper(ctx context.Context, m chivegauge.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, helperTimeScale*h.cfg.Timeout)
	defer cancel()
	for range helpers {
		h.mu.Lock()
		helper, ok := h.table.Target(rand.IntN)
		h.mu.Unlock()
		if !ok || helper.Address == m.Address {
			continue
		}
		res, err := h.dialer.Control(helper.Address).Probe(ctx, &messenger.ProbeRequest{
			Address: m.Address,
		})
		if err == nil && res.GetReached() {
			return true
		}
	}
	return false
}

// exchange sends one heartbeat and takes in what comes back.
func (h *heartbeater) exchange(ctx context.Context, address string) error {
	return h.exchangeWith(ctx, address, false)
}

// exchangeWith sends one heartbeat; whole asks for the peer's whole table.
func (h *heartbeater) exchangeWith(ctx context.Context, address string, whole bool) error {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Timeout)
	defer cancel()
	req := h.request(whole)
	res, err := h.dialer.Control(address).Heartbeat(ctx, req)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.whole = true
	h.mu.Unlock()
	h.take(address, res.GetResponder(), res.GetNews(), res.GetVersions(), req.GetWantAll())
	return nil
}

// request builds a heartbeat; the documents' lock is never taken under h.mu.
func (h *heartbeater) request(whole bool) *messenger.HeartbeatRequest {
	versions := fromVersions(h.docs.Versions())
	h.mu.Lock()
	defer h.mu.Unlock()
	return &messenger.HeartbeatRequest{
		Sender:   fromMember(h.table.Self()),
		News:     fromMembers(h.table.News()),
		Versions: versions,
		WantAll:  whole || !h.whole,
	}
}

// take applies news and fetches documents that the peer holds in a newer version.
// That a member left is only believed from a whole table, so that who hears of it
// also knows every member that the leaving one knew.
func (h *heartbeater) take(address string, peer *messenger.Member, news []*messenger.Member, versions []*messenger.Version, whole bool) {
	left := false
	for _, m := range append(news, peer) {
		member := toMember(m)
		if member.State == chivegauge.Left && !whole {
			left = left || h.isNews(member)
			continue
		}
		h.Learn(member)
	}
	h.meet(toMember(peer))
	if left {
		h.start(func() { _ = h.exchangeWith(context.Background(), address, true) })
	}
	if h.docs.Lacks(toVersions(versions)) {
		h.start(func() { h.fetch(address) })
	}
}

func (h *heartbeater) fetch(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	res, err := h.dialer.Control(address).Fetch(ctx, &messenger.FetchRequest{
		Versions: fromVersions(h.docs.Versions()),
	})
	if err != nil {
		return
	}
	for _, d := range res.GetDocuments() {
		_ = h.Offer(replicator.Document{
			Name:    d.GetDocument(),
			Version: d.GetVersion(),
			Value:   d.GetValue(),
		})
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

// push sends heartbeats to a number of members at once.
func (h *heartbeater) push(fanout int) {
	for range fanout {
		h.mu.Lock()
		m, ok := h.table.Target(rand.IntN)
		h.mu.Unlock()
		if ok {
			h.start(func() { _ = h.exchange(context.Background(), m.Address) })
		}
	}
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
	for _, known := range h.table.Members() {
		if known.Address == m.Address {
			return m.Overrides(known)
		}
	}
	return true
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

// Heartbeat answers the heartbeat of another node.
func (h *heartbeater) Heartbeat(_ context.Context, r *messenger.HeartbeatRequest) (*messenger.HeartbeatResponse, error) {
	h.take(r.GetSender().GetAddress(), r.GetSender(), r.GetNews(), r.GetVersions(), false)
	versions := fromVersions(h.docs.Versions())
	h.mu.Lock()
	defer h.mu.Unlock()
	news := h.table.News()
	if r.GetWantAll() {
		news = h.table.Members()
	}
	return &messenger.HeartbeatResponse{
		Responder:  fromMember(h.table.Self()),
		News:       fromMembers(news),
		Versions:   versions,
		Violations: asserter.Total(),
	}, nil
}

// Probe reaches a third member for another node.
func (h *heartbeater) Probe(ctx context.Context, r *messenger.ProbeRequest) (*messenger.ProbeResponse, error) {
	reached := h.exchange(ctx, r.GetAddress()) == nil
	return &messenger.ProbeResponse{
		Reached: reached,
	}, nil
}

// Fetch returns the documents that the other node lacks.
func (h *heartbeater) Fetch(_ context.Context, r *messenger.FetchRequest) (*messenger.FetchResponse, error) {
	res := &messenger.FetchResponse{}
	for _, d := range h.docs.Newer(toVersions(r.GetVersions())) {
		res.Documents = append(res.Documents, &messenger.Document{
			Document: d.Name,
			Version:  d.Version,
			Value:    d.Value,
		})
	}
	return res, nil
}
