package supervisor

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/loader"
	"github.com/chivegauge/chivegauge/internal/base/storer"
	"github.com/chivegauge/chivegauge/internal/base/timekeeper"
	"github.com/chivegauge/chivegauge/internal/cluster/announcer"
	"github.com/chivegauge/chivegauge/internal/cluster/configurer"
	"github.com/chivegauge/chivegauge/internal/cluster/dialer"
	"github.com/chivegauge/chivegauge/internal/cluster/gossiper"
	"github.com/chivegauge/chivegauge/internal/cluster/heartbeater"
	"github.com/chivegauge/chivegauge/internal/cluster/planner"
	"github.com/chivegauge/chivegauge/internal/cluster/replicator"
	"github.com/chivegauge/chivegauge/internal/cluster/slotter"
	"github.com/chivegauge/chivegauge/internal/cluster/surveyor"
	"github.com/chivegauge/chivegauge/internal/cluster/watcher"
	"github.com/chivegauge/chivegauge/internal/policy/admitter"
	"github.com/chivegauge/chivegauge/internal/policy/budgeter"
	"github.com/chivegauge/chivegauge/internal/policy/limiter"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/policy/scheduler"
	"github.com/chivegauge/chivegauge/internal/proof/recorder"
	"github.com/chivegauge/chivegauge/internal/request/deduplicator"
	"github.com/chivegauge/chivegauge/internal/request/dispatcher"
	"github.com/chivegauge/chivegauge/internal/request/executor"
	"github.com/chivegauge/chivegauge/internal/request/gatekeeper"
	"github.com/chivegauge/chivegauge/internal/request/hopper"
	"github.com/chivegauge/chivegauge/internal/request/isolator"
	"github.com/chivegauge/chivegauge/internal/request/rater"
	"github.com/chivegauge/chivegauge/internal/telemetry/meter"
	"github.com/rs/zerolog"
)

const (
	cancelTimeout  = time.Second
	unlimitedSlots = 100000
	perHopAttempts = 3
	ratesShares    = "Shares"
)

// parts are what a node is built of, below its listeners.
type parts struct {
	store     storer.Store
	dialer    dialer.Dialer
	fleet     heartbeater.Heartbeater
	config    configurer.Configurer
	announcer announcer.Announcer
	watcher   watcher.Watcher
	planner   planner.Planner
	surveyor  surveyor.Surveyor
	executor  executor.Executor
	hopper    hopper.Hopper
	dispatch  dispatcher.Dispatcher
	dedup     deduplicator.Deduplicator
	isolator  isolator.Isolator
	retention time.Duration
	rates     rater.Rater
	shares    rater.Shares
	slotter   slotter.Slotter
	slots     watcher.Watcher
	meter     meter.Meter
	recorder  recorder.Recorder
}

func newParts(s loader.Settings, sec security, log zerolog.Logger) (*parts, error) {
	m, err := meter.New()
	if err != nil {
		return nil, err
	}
	rec, err := newRecorder(s)
	if err != nil {
		return nil, err
	}
	p := &parts{
		recorder: rec,
		meter:    m,
		store:    storer.New(s.Store.URL, loader.Millis(s.Store.TimeoutMs), loader.Millis(s.Store.WatchMs)),
		dialer:   dialer.New(sec.peerClient),
		config:   configurer.New(),
		executor: newExecutor(s, rec),

		retention: loader.Millis(s.Limits.KeyRetainMs),
	}
	docs := replicator.New()
	docs.Register(configurer.DocumentName, p.config.Accept)
	p.fleet = newFleet(s, p.dialer, docs, p.executor.Load, log)
	refresh := loader.Millis(s.Store.RefreshMs)
	p.announcer = announcer.New(p.store, p.fleet, refresh, p.predecessor)
	p.watcher = watcher.New(p.store, p.fleet, configurer.DocumentName, refresh)
	p.surveyor = surveyor.New(p.dialer)
	p.planner = planner.New(p.store, configurer.DocumentName, p.fleet, p.survey, p.config.Configuration)
	p.share(s, docs)
	p.hopper = newHopper(s, sec, p.dialer)
	p.dispatch = newDispatcher(s, p)
	asks := &recaller{
		dialer: p.dialer,
	}
	p.dedup = deduplicator.New(timekeeper.Now, timekeeper.Rest, p.fleet, p.dispatch, p.hopper, asks, p.gone, p.retention)
	p.dedup.Forgetful(timekeeper.Now().Add(forever))
	tells := &teller{
		dialer: p.dialer,
	}
	p.isolator = isolator.New(timekeeper.Now, p.fleet, tells)
	p.executor.Follow(p.dedup, p.isolator)
	return p, nil
}

// share makes the rates of workspaces hold across the fleet, in the way that the settings say.
func (p *parts) share(s loader.Settings, docs replicator.Replicator) {
	p.shares = rater.NewShares(timekeeper.Now, s.Listeners.Peer.Reached(), p.dialer.Control, p.newKeeper())
	hands := &slotTeller{
		dialer: p.dialer,
	}
	p.slotter = slotter.New(p.store, p.fleet, p.shares, hands, p.gone)
	p.shares.Follow(p.slotter)
	docs.Register(slotter.DocumentName, p.slotter.Accept)
	p.slots = watcher.New(p.store, p.fleet, slotter.DocumentName, loader.Millis(s.Store.RefreshMs))
	p.config.Listen(p.shares.Configure)
	switch s.Policy.Rates {
	case ratesShares:
		p.rates = p.shares
	case "Split":
		r := rater.NewSplit(timekeeper.Now, p.alive)
		p.config.Listen(r.Configure)
		p.rates = r
	default:
		p.rates = rater.NewUnlimited()
	}
}

// survey asks each member what it has in force and how loaded it is.
func (p *parts) survey(ctx context.Context) surveyor.Status {
	return p.surveyor.Survey(ctx, configurer.DocumentName, p.fleet.Members())
}

// gone reports whether an operator declared the address gone.
func (p *parts) gone(address string) bool {
	return p.config.Configuration().Gone(address)
}

// alive returns the number of living members, at least 1.
func (p *parts) alive() int {
	n := 0
	for _, m := range p.fleet.Members() {
		if m.Serving() {
			n++
		}
	}
	return max(1, n)
}

func newFleet(s loader.Settings, d dialer.Dialer, docs replicator.Replicator, load heartbeater.Load, log zerolog.Logger) heartbeater.Heartbeater {
	now := timekeeper.Now()
	self := chivegauge.Member{
		Address:     s.Listeners.Peer.Reached(),
		Service:     s.Service,
		Zone:        s.AvailabilityZone,
		Region:      s.Region,
		Incarnation: chivegauge.FirstIncarnation(now.UnixMilli()),
	}
	table := gossiper.NewTable(now, self, loader.Millis(s.Membership.SuspectMs))
	cfg := heartbeater.Config{
		Period:  loader.Millis(s.Membership.HeartbeatMs),
		Timeout: loader.Millis(s.Membership.TimeoutMs),
	}
	return heartbeater.New(cfg, timekeeper.Now, table, d, docs, load, log)
}

func newExecutor(s loader.Settings, rec recorder.Recorder) executor.Executor {
	b := s.BackendServer
	opts := []gatekeeper.Option{
		gatekeeper.WithMaxWait(loader.Millis(s.Limits.QueueMaxMs)),
	}
	if s.Policy.Admission {
		opts = append(opts, gatekeeper.WithAdmission(admitter.NewController()))
	}
	gate := gatekeeper.New(timekeeper.Now, newLimiter(s), scheduler.New(s.Limits.QueueMax), opts...)
	backend := executor.NewBackend(b.URL, timekeeper.Now, b.Connections, int64(s.Limits.BodyMaxBytes))
	return executor.New(s.Service, timekeeper.Now, gate, backend, newAttempts(b, rec), loader.Millis(b.CancelGraceMs))
}

func newLimiter(s loader.Settings) limiter.Limiter {
	bounds := limiter.Bounds{
		Initial: s.Limits.SlotsInitial,
		Max:     s.Limits.SlotsMax,
	}
	var l limiter.Limiter
	switch s.Policy.Limit {
	case "Static":
		l = limiter.NewStatic(s.Limits.SlotsInitial)
	case "Gradient":
		l = limiter.NewGradient(bounds)
	case "Probe":
		l = limiter.NewProbe(bounds)
	default:
		return limiter.NewStatic(unlimitedSlots)
	}
	return limiter.NewRamp(l, timekeeper.Now(), loader.Millis(s.BackendServer.ColdStartMs))
}

func newHopper(s loader.Settings, sec security, d dialer.Dialer) hopper.Hopper {
	var opts []hopper.Option
	if sec.peerClient != nil {
		opts = append(opts, hopper.WithTLS(sec.peerClient))
	}
	silence := loader.Millis(s.Membership.SilenceMs)
	c := &canceller{
		dialer: d,
	}
	return hopper.New(timekeeper.Now, silence, int64(s.Limits.BodyMaxBytes), c, opts...)
}

func newDispatcher(s loader.Settings, p *parts) dispatcher.Dispatcher {
	opts := []dispatcher.Option{
		dispatcher.WithBudget(budgeter.New(s.Retries.Ratio, s.Retries.Reserve)),
	}
	if s.Policy.Retries == "PerHop" {
		opts = append(opts, dispatcher.WithRule(dispatcher.HopRule{
			Attempts: perHopAttempts,
		}))
	}
	if s.Policy.Routing == "Observed" {
		opts = append(opts, dispatcher.WithPicker(picker.New(s.AvailabilityZone, s.Region)))
	}
	if s.Policy.Admission {
		opts = append(opts, dispatcher.WithBook(admitter.NewBook()))
	}
	return dispatcher.New(timekeeper.Now, p.fleet, p.hopper, p.executor, opts...)
}
