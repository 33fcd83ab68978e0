package assembler

import (
	"context"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/timekeeper"
	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
	"github.com/chivegauge/chivegauge/internal/cluster/syncer"
	"github.com/chivegauge/chivegauge/internal/policy/budgeter"
	"github.com/chivegauge/chivegauge/internal/policy/limiter"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/policy/scheduler"
	"github.com/chivegauge/chivegauge/internal/request/clusterlimiter"
	"github.com/chivegauge/chivegauge/internal/request/concurrencylimiter"
	"github.com/chivegauge/chivegauge/internal/request/correlator"
	"github.com/chivegauge/chivegauge/internal/request/crashtracker"
	"github.com/chivegauge/chivegauge/internal/request/router"
	"github.com/chivegauge/chivegauge/internal/stream/acceptor"
	"github.com/chivegauge/chivegauge/internal/stream/connector"
	"github.com/chivegauge/chivegauge/internal/stream/executor"
	"github.com/chivegauge/chivegauge/internal/stream/forwarder"
	"github.com/chivegauge/chivegauge/internal/stream/transporter"
	"github.com/chivegauge/chivegauge/internal/telemetry/journaler"
	"github.com/chivegauge/chivegauge/internal/telemetry/meter"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

const (
	// holdBytes is the largest body that is held in memory, so that it can be sent again or known to be whole.
	holdBytes = 64 << 10

	// memoryPart is the part of the instance's memory at which the runtime collects harder.
	memoryPart = 0.7

	// gcPercent trades memory, of which little is used, for processor time.
	gcPercent = 300

	// dialTimeout covers a lost opening packet within a zone pair, not the seconds after which it is sent again.
	dialTimeout = 400 * time.Millisecond

	// peerSilence is how long sent bytes may stay unacknowledged before another node counts as gone.
	peerSilence = 2 * time.Second

	// peerKeep is how long an unused connection to another node is kept, below idleTimeout.
	peerKeep = 20 * time.Second

	// backendKeep is how long an unused connection to a backend server is kept that does not say how long it may be.
	backendKeep = 2 * time.Second

	// startPart is the part of a burst that there is at a start, when it may have been spent just before.
	startPart = 0.0

	// answeredLines and failedLines bound the log lines a second about requests: at some 300 bytes a line, 150 KB.
	answeredLines = 200
	failedLines   = 300

	// slotsPart is the part of the declared slots that is used: backend servers slow down when nearly all are taken, and
	// connections and cancelled runs hold some for a moment.
	slotsPart = 0.93

	// queueMax is the number of requests that wait for the backend server, queueTime how long they may.
	queueMax  = 128
	queueTime = 150 * time.Millisecond

	storeTimeout  = 700 * time.Millisecond
	storeRetry    = 100 * time.Millisecond
	storeRetryMax = 800 * time.Millisecond

	// listPeriod is how often the list of nodes is read again; listYoung how long it is read more often after a start.
	listPeriod      = 2 * time.Second
	listYoungPeriod = 500 * time.Millisecond
	listYoung       = 6 * time.Second

	// listStaleMax is above the seconds by which a list that may be stale can be late.
	listStaleMax = 10 * time.Second

	headerBytes   = 64 << 10
	bodyBytes     = 64 << 20
	headerTimeout = 10 * time.Second
	idleTimeout   = 30 * time.Second
)

// Stores are where what must last is kept.
type Stores struct {
	Configuration syncer.Source
	Records       registrar.Store
}

// Node is a running node.
type Node interface {
	// Run serves until the context ends, then stops without cutting a request.
	Run(ctx context.Context) error
	// Ready reports whether callers are served.
	Ready() bool
	// Report takes in what the backend server says; it returns once the node holds to it.
	Report(ctx context.Context, r executor.Report)
	// Leave takes in that a start of the backend server leaves without further reports; born is 0 where it was not said.
	Leave(ctx context.Context, instance string, born int64)
	// Apply takes other bounds into force.
	Apply(b Bounds)
	// Meter returns the counters of the node.
	Meter() meter.Meter
	// Log returns the log of the node.
	Log() zerolog.Logger
}

type node struct {
	settings Settings
	log      zerolog.Logger
	journal  journaler.Journaler
	meter    meter.Meter
	config   syncer.Syncer
	members  registrar.Registrar
	guardian executor.Executor
	drawer   clusterlimiter.ClusterLimiter
	suspects crashtracker.CrashTracker
	callers  acceptor.Acceptor
	peers    acceptor.Acceptor
	stopping chan struct{}
	forward  forwarder.Forwarder
	bounds   atomic.Pointer[Bounds]
}

// New returns the node of the settings, or an error.
func New(s Settings, stores Stores) (Node, error) {
	m, err := meter.New()
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryBytes)))
	j := journaler.New(s.Log)
	n := &node{
		settings: s,
		log:      zerolog.New(j).With().Timestamp().Str("Node", s.Name).Logger(),
		journal:  j,
		meter:    m,
		stopping: make(chan struct{}),
	}
	n.bounds.Store(&s.Bounds)
	n.store(stores)
	n.serve()
	if err := n.observe(); err != nil {
		return nil, errors.Wrap(err, "register gauges")
	}
	return n, nil
}

// store builds what follows the stores.
func (n *node) store(stores Stores) {
	s := n.settings
	t := newTeller()
	own := registrar.Record{
		Member: s.Member.WithIncarnation(chivegauge.FirstIncarnation(timekeeper.Now().UnixMilli())),
	}
	n.members = registrar.New(registrar.Config{
		Timeout:       storeTimeout,
		NotifyTimeout: dialTimeout,
		Period:        listPeriod,
		StartupPeriod: listYoungPeriod,
		StartupTime:   listYoung,
		StaleMax:      listStaleMax,
		RetryMax:      storeRetryMax,
	}, stores.Records, t, own, n.log)
	n.config = syncer.New(proofTimes(s.Bounds.KeyLifetime), stores.Configuration, n.members, t, n.log)
	initial := startPart
	if s.FirstStart {
		initial = 1
	}
	n.drawer = clusterlimiter.New(timekeeper.Now, n.members, t, initial)
	n.suspects = crashtracker.New(n.members, t, n.log)
	n.config.Subscribe(func(r router.Router) { n.drawer.Configure(r.Workspaces()) })
	n.members.Subscribe(n.drawer.Resize)
}

// serve builds what carries requests.
func (n *node) serve() {
	s := n.settings
	requests := n.log.Sample(zerolog.LevelSampler{
		InfoSampler: &zerolog.BurstSampler{
			Burst:  answeredLines,
			Period: time.Second,
		},
		WarnSampler: &zerolog.BurstSampler{
			Burst:  failedLines,
			Period: time.Second,
		},
	})
	limit := limiter.NewDeclared(slotsPart)
	room := limiter.NewDownstream(limit)
	links := correlator.New()
	n.guardian = n.guard(limit, room, links, requests)
	n.forward = forwarder.New(forwarder.Config{
		Now:         timekeeper.Now,
		Names:       s.Names,
		Config:      n.config,
		Members:     n.members,
		RateLimiter: n.drawer,
		Local:       n.guardian,
		Remote: transporter.New(transporter.Config{
			DialTimeout:     dialTimeout,
			AckTimeout:      peerSilence,
			IdleTimeout:     peerKeep,
			AttemptHeader:   s.Names.Attempt,
			BodyBufferBytes: holdBytes,
		}),
		Picker:               picker.New(s.Member.Zone, s.Member.Region),
		Correlator:           links,
		CrashTracker:         n.suspects,
		DownstreamLimit:      room,
		RetryBudget:          budgeter.NewWindow(retryShare(s.Bounds.RetryRatio), 0, s.RetryWindow),
		Meter:                n.meter,
		Log:                  requests,
		BodyBufferMax:        holdBytes,
		TransparentRetryTime: queueTime,
		VerificationAgeMax:   n.proofMax,
	})
	n.members.Subscribe(n.forward.SetNodes)
	n.tune(s.Bounds)
	n.callers = acceptor.New(n.forward, n.limits)
	n.peers = acceptor.New(&peers{
		records:  n.members,
		drawer:   n.drawer,
		config:   n.config,
		suspects: n.suspects,
		ready:    n.Ready,
		receiver: transporter.NewReceiver(s.Names, n.guardian, holdBytes),
	}, peerLimits)
}

// guard builds what stands before the backend server: a gate within its slots, and one before that within the room that
// the calls of its requests find.
func (n *node) guard(limit limiter.Declared, room limiter.Limiter, links correlator.Correlator, log zerolog.Logger) executor.Executor {
	s := n.settings
	gate := func(l limiter.Limiter) concurrencylimiter.ConcurrencyLimiter {
		return concurrencylimiter.New(time.Now, l, scheduler.New(queueMax), concurrencylimiter.WithMaxWait(queueTime))
	}
	return executor.New(executor.Config{
		Names:         s.Names,
		Limiter:       gate(limit),
		ParentLimiter: gate(room),
		Correlator:    links,
		DeclaredLimit: limit,
		Backend: connector.New(connector.Config{
			Address:         s.Backend,
			DialTimeout:     dialTimeout,
			IdleTimeout:     backendKeep,
			AttemptHeader:   s.Names.Attempt,
			BodyBufferBytes: holdBytes,
		}),
		CrashTracker: n.suspects,
		Log:          log,
	})
}

func (n *node) limits() acceptor.Limits {
	l := peerLimits()
	r, ok := n.config.Router()
	if !ok {
		return l
	}
	b := r.Bounds()
	if b.HeaderBytes > 0 {
		l.HeaderBytes = b.HeaderBytes
	}
	if b.BodyBytes > 0 {
		l.BodyBytes = b.BodyBytes
	}
	if b.HeaderTimeout > 0 {
		l.HeaderTimeout = b.HeaderTimeout
	}
	if b.IdleTimeout > 0 {
		l.IdleTimeout = b.IdleTimeout
	}
	return l
}

func peerLimits() acceptor.Limits {
	return acceptor.Limits{
		HeaderBytes:   headerBytes,
		BodyBytes:     bodyBytes,
		HeaderTimeout: headerTimeout,
		IdleTimeout:   idleTimeout,
	}
}

// Meter returns the counters of the node.
func (n *node) Meter() meter.Meter {
	return n.meter
}

// Log returns the log of the node.
func (n *node) Log() zerolog.Logger {
	return n.log
}

// Ready reports whether the node has a configuration and the list of nodes, and is not stopping.
func (n *node) Ready() bool {
	select {
	case <-n.stopping:
		return false
	default:
	}
	_, ok := n.config.Router()
	return ok && n.members.Synced()
}

// Run serves until the context ends, then stops.
func (n *node) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", n.settings.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	peers, err := net.Listen("tcp", n.settings.Member.Address)
	if err != nil {
		return errors.Wrap(err, "listen for nodes")
	}
	n.log.Info().Str("Callers", n.settings.Callers).Str("Peers", n.settings.Member.Address).Str("Service", n.settings.Member.Service).Msg("node started")
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, inner := errgroup.WithContext(inner)
	group.Go(func() error { return n.journal.Serve(inner) })
	group.Go(func() error { return n.config.Serve(inner) })
	group.Go(func() error { return n.members.Serve(inner) })
	group.Go(func() error { return n.suspects.Serve(inner) })
	group.Go(func() error { return n.callers.Serve(inner, callers) })
	group.Go(func() error { return n.peers.Serve(inner, peers) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			n.stop(inner, callers)
		case <-inner.Done():
		}
		_ = callers.Close()
		_ = peers.Close()
		cancel()
		return nil
	})
	err = group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}
