package supervisor

import (
	"context"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/loader"
	"github.com/chivegauge/chivegauge/internal/base/storer"
	"github.com/chivegauge/chivegauge/internal/base/timekeeper"
	"github.com/chivegauge/chivegauge/internal/cluster/announcer"
	"github.com/chivegauge/chivegauge/internal/cluster/collector"
	"github.com/chivegauge/chivegauge/internal/cluster/configurer"
	"github.com/chivegauge/chivegauge/internal/cluster/dialer"
	"github.com/chivegauge/chivegauge/internal/cluster/gossiper"
	"github.com/chivegauge/chivegauge/internal/cluster/heartbeater"
	"github.com/chivegauge/chivegauge/internal/cluster/planner"
	"github.com/chivegauge/chivegauge/internal/cluster/reconciler"
	"github.com/chivegauge/chivegauge/internal/cluster/replicator"
	"github.com/chivegauge/chivegauge/internal/cluster/watcher"
	"github.com/chivegauge/chivegauge/internal/policy/admitter"
	"github.com/chivegauge/chivegauge/internal/policy/budgeter"
	"github.com/chivegauge/chivegauge/internal/policy/limiter"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/policy/scheduler"
	"github.com/chivegauge/chivegauge/internal/proof/recorder"
	"github.com/chivegauge/chivegauge/internal/request/concurrencylimiter"
	"github.com/chivegauge/chivegauge/internal/request/deduplicator"
	"github.com/chivegauge/chivegauge/internal/request/dispatcher"
	"github.com/chivegauge/chivegauge/internal/request/executor"
	"github.com/chivegauge/chivegauge/internal/request/isolator"
	"github.com/chivegauge/chivegauge/internal/request/ratelimiter"
	"github.com/chivegauge/chivegauge/internal/request/transporter"
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
	surveyor  collector.Collector
	executor  executor.Executor
	hopper    transporter.Transporter
	dispatch  dispatcher.Dispatcher
	dedup     deduplicator.Deduplicator
	isolator  isolator.Isolator
	retention time.Duration
	rates     ratelimiter.RateLimiter
	shares    ratelimiter.LeaseLimiter
	slotter   reconciler.Reconciler
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
	docs.Register(configurer.DocumentName, p.config.Apply)
	p.fleet = newFleet(s, p.dialer, docs, p.executor.Load, log)
	refresh := loader.Millis(s.Store.RefreshMs)
	p.announcer = announcer.New(p.store, p.fleet, refresh, p.predecessor)
	p.watcher = watcher.New(p.store, p.fleet, configurer.DocumentName, refresh)
	p.surveyor = collector.New(p.dialer)
	p.planner = planner.New(p.store, configurer.DocumentName, p.fleet, p.survey, p.config.Configuration)
	p.share(s, docs)
	p.hopper = newHopper(s, sec, p.dialer)
	p.dispatch = newDispatcher(s, p)
	asks := &recaller{
		dialer: p.dialer,
	}
	p.dedup = deduplicator.New(timekeeper.Now, timekeeper.Rest, p.fleet, p.dispatch, p.hopper, asks, p.gone, p.retention)
	p.dedup.SetIncompleteUntil(timekeeper.Now().Add(forever))
	tells := &teller{
		dialer: p.dialer,
	}
	p.isolator = isolator.New(timekeeper.Now, p.fleet, tells)
	p.executor.Attach(p.dedup, p.isolator)
	return p, nil
}

// share makes the rates of workspaces hold across the fleet, in the way that the settings say.
func (p *parts) share(s loader.Settings, docs replicator.Replicator) {
	p.shares = ratelimiter.NewLeaseLimiter(timekeeper.Now, s.Listeners.Peer.Reached(), p.dialer.Control, p.newKeeper())
	hands := &slotTeller{
		dialer: p.dialer,
	}
	p.slotter = reconciler.New(p.store, p.fleet, p.shares, hands, p.gone)
	p.shares.SetDirectory(p.slotter)
	docs.Register(reconciler.DocumentName, p.slotter.Apply)
	p.slots = watcher.New(p.store, p.fleet, reconciler.DocumentName, loader.Millis(s.Store.RefreshMs))
	p.config.Subscribe(p.shares.Configure)
	switch s.Policy.Rates {
	case ratesShares:
		p.rates = p.shares
	case "Split":
		r := ratelimiter.NewSplitLimiter(timekeeper.Now, p.alive)
		p.config.Subscribe(r.Configure)
		p.rates = r
	default:
		p.rates = ratelimiter.NewUnlimited()
	}
}

// survey asks each member what it has in force and how loaded it is.
func (p *parts) survey(ctx context.Context) collector.Status {
	return p.surveyor.Collect(ctx, configurer.DocumentName, p.fleet.Members())
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
	opts := []concurrencylimiter.Option{
		concurrencylimiter.WithMaxWait(loader.Millis(s.Limits.QueueMaxMs)),
	}
	if s.Policy.Admission {
		opts = append(opts, concurrencylimiter.WithAdmission(admitter.NewController()))
	}
	gate := concurrencylimiter.New(timekeeper.Now, newLimiter(s), scheduler.New(s.Limits.QueueMax), opts...)
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

func newHopper(s loader.Settings, sec security, d dialer.Dialer) transporter.Transporter {
	var opts []transporter.Option
	if sec.peerClient != nil {
		opts = append(opts, transporter.WithTLS(sec.peerClient))
	}
	silence := loader.Millis(s.Membership.SilenceMs)
	c := &canceller{
		dialer: d,
	}
	return transporter.New(timekeeper.Now, silence, int64(s.Limits.BodyMaxBytes), c, opts...)
}

func newDispatcher(s loader.Settings, p *parts) dispatcher.Dispatcher {
	opts := []dispatcher.Option{
		dispatcher.WithBudget(budgeter.New(s.Retries.Ratio, s.Retries.Reserve)),
	}
	if s.Policy.Retries == "PerHop" {
		opts = append(opts, dispatcher.WithRetryPolicy(dispatcher.PerHopRetryPolicy{
			Attempts: perHopAttempts,
		}))
	}
	if s.Policy.Routing == "Observed" {
		opts = append(opts, dispatcher.WithPicker(picker.New(s.AvailabilityZone, s.Region)))
	}
	if s.Policy.Admission {
		opts = append(opts, dispatcher.WithLevelTable(admitter.NewLevelTable()))
	}
	return dispatcher.New(timekeeper.Now, p.fleet, p.hopper, p.executor, opts...)
}
