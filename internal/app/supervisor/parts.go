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

// parts are the parts of a node, without its listeners.
type parts struct {
	store        storer.Store
	dialer       dialer.Dialer
	fleet        heartbeater.Heartbeater
	config       configurer.Configurer
	announcer    announcer.Announcer
	watcher      watcher.Watcher
	planner      planner.Planner
	collector    collector.Collector
	executor     executor.Executor
	transporter  transporter.Transporter
	dispatcher   dispatcher.Dispatcher
	dedup        deduplicator.Deduplicator
	isolator     isolator.Isolator
	keyRetention time.Duration
	rateLimiter  ratelimiter.RateLimiter
	leaseLimiter ratelimiter.LeaseLimiter
	reconciler   reconciler.Reconciler
	slotsWatcher watcher.Watcher
	meter        meter.Meter
	recorder     recorder.Recorder
}

func newParts(s loader.Settings, tlsCfg tlsConfigs, log zerolog.Logger) (*parts, error) {
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
		dialer:   dialer.New(tlsCfg.peerClient),
		config:   configurer.New(),
		executor: newExecutor(s, rec),

		keyRetention: loader.Millis(s.Limits.KeyRetainMs),
	}
	docs := replicator.New()
	docs.Register(configurer.DocumentName, func(d replicator.Document) error {
		// A node that seldom calls the store learns from the others that it has come back from an older copy.
		p.store.LearnEra(d.Version)
		return p.config.Apply(d)
	})
	p.fleet = newFleet(s, p.dialer, docs, p.executor.Load, log)
	refresh := loader.Millis(s.Store.RefreshMs)
	p.announcer = announcer.New(p.store, p.fleet, refresh, p.onPredecessorExit)
	p.watcher = watcher.New(p.store, p.fleet, configurer.DocumentName, refresh)
	p.collector = collector.New(p.dialer)
	p.planner = planner.New(p.store, configurer.DocumentName, p.fleet, p.collectStatus, p.config.Configuration)
	p.buildRateLimiters(s, docs)
	p.transporter = newTransporter(s, tlsCfg, p.dialer)
	p.dispatcher = newDispatcher(s, p)
	keyRecaller := &recaller{
		dialer: p.dialer,
	}
	p.dedup = deduplicator.New(timekeeper.Now, timekeeper.Sleep, p.fleet, p.dispatcher, p.transporter, keyRecaller, p.gone, p.keyRetention)
	p.dedup.SetIncompleteUntil(timekeeper.Now().Add(forever))
	notifier := &crashNotifier{
		dialer: p.dialer,
	}
	p.isolator = isolator.New(timekeeper.Now, p.fleet, notifier)
	p.executor.Attach(p.dedup, p.isolator)
	return p, nil
}

// buildRateLimiters builds the rate limiter that the settings select, and the leases of rate tokens across the fleet.
func (p *parts) buildRateLimiters(s loader.Settings, docs replicator.Replicator) {
	p.leaseLimiter = ratelimiter.NewLeaseLimiter(timekeeper.Now, s.Listeners.Peer.AdvertisedAddress(), p.dialer.Control, p.newLessor())
	sender := &handoverSender{
		dialer: p.dialer,
	}
	p.reconciler = reconciler.New(p.store, p.fleet, p.leaseLimiter, sender, p.gone)
	p.leaseLimiter.SetDirectory(p.reconciler)
	docs.Register(reconciler.DocumentName, p.reconciler.Apply)
	p.slotsWatcher = watcher.New(p.store, p.fleet, reconciler.DocumentName, loader.Millis(s.Store.RefreshMs))
	p.config.Subscribe(p.leaseLimiter.Configure)
	switch s.Policy.Rates {
	case ratesShares:
		p.rateLimiter = p.leaseLimiter
	case "Split":
		r := ratelimiter.NewSplitLimiter(timekeeper.Now, p.servingCount)
		p.config.Subscribe(r.Configure)
		p.rateLimiter = r
	default:
		p.rateLimiter = ratelimiter.NewUnlimited()
	}
}

// collectStatus queries the active configuration and the load of each member.
func (p *parts) collectStatus(ctx context.Context) collector.Status {
	return p.collector.Collect(ctx, configurer.DocumentName, p.fleet.Members())
}

// gone reports whether an operator declared the address gone.
func (p *parts) gone(address string) bool {
	return p.config.Configuration().Gone(address)
}

// servingCount returns the number of serving members, at least 1.
func (p *parts) servingCount() int {
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
		Address:     s.Listeners.Peer.AdvertisedAddress(),
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
	callLimiter := concurrencylimiter.New(timekeeper.Now, newLimiter(s), scheduler.New(s.Limits.QueueMax), opts...)
	backend := executor.NewBackend(b.URL, timekeeper.Now, b.Connections, int64(s.Limits.BodyMaxBytes))
	return executor.New(s.Service, timekeeper.Now, callLimiter, backend, newTracker(b, rec), loader.Millis(b.CancelGraceMs))
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

func newTransporter(s loader.Settings, tlsCfg tlsConfigs, d dialer.Dialer) transporter.Transporter {
	var opts []transporter.Option
	if tlsCfg.peerClient != nil {
		opts = append(opts, transporter.WithTLS(tlsCfg.peerClient))
	}
	silenceTimeout := loader.Millis(s.Membership.SilenceMs)
	c := &canceller{
		dialer: d,
	}
	return transporter.New(timekeeper.Now, silenceTimeout, int64(s.Limits.BodyMaxBytes), c, opts...)
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
	return dispatcher.New(timekeeper.Now, p.fleet, p.transporter, p.executor, opts...)
}
