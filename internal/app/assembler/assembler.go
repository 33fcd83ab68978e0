package assembler

import (
	"context"
	"net"
	"runtime/debug"
	"sync"
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
	"github.com/chivegauge/chivegauge/internal/telemetry/logwriter"
	"github.com/chivegauge/chivegauge/internal/telemetry/meter"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

const (
	// bodyBufferBytes is the largest body that is buffered in memory; only a buffered body can be sent again, or is known
	// to be complete before it is sent.
	bodyBufferBytes = 64 << 10

	// memoryLimitFraction is the soft memory limit of the Go runtime, near which garbage is collected more often, as a
	// fraction of the memory that the process may use.
	memoryLimitFraction = 0.7

	// gcPercent is above the default of 100: little of the memory is used, and fewer collections save processor time.
	gcPercent = 300

	// dialTimeout is long enough to connect between two availability zones, but not to recover a lost SYN, which is sent
	// again only after a second or more.
	dialTimeout = 400 * time.Millisecond

	// peerAckTimeout is how long sent bytes may stay unacknowledged before another node counts as unreachable.
	peerAckTimeout = 2 * time.Second

	// peerIdleTimeout is how long an idle connection to another node is kept; it is below idleTimeout, after which the
	// other node closes the connection.
	peerIdleTimeout = 20 * time.Second

	// backendIdleTimeout is how long an idle connection to a backend server is kept if the server announces no timeout.
	backendIdleTimeout = 2 * time.Second

	// restartBurstFraction is how full the token buckets are after a restart: the burst may have been spent just before.
	restartBurstFraction = 0.0

	// infoLinesPerSecond and warnLinesPerSecond limit the log lines about requests, to about 150 KB per second at 300
	// bytes per line.
	infoLinesPerSecond = 200
	warnLinesPerSecond = 300

	// usableSlotsFraction is the fraction of the declared slots that is used: backend servers slow down when nearly all
	// slots are occupied, and connections and cancelled runs occupy some for a short time.
	usableSlotsFraction = 0.93

	// queueMax is the maximum number of requests that wait for the backend server, and queueWaitMax their longest wait.
	queueMax     = 128
	queueWaitMax = 150 * time.Millisecond

	// storeTimeout is the timeout of a call to the store of records; storeRetryMax is the longest backoff after failed
	// calls to it.
	storeTimeout  = 700 * time.Millisecond
	storeRetryMax = 800 * time.Millisecond

	// listPeriod is the time between two reads of the list of nodes; for listStartupTime after the start, it is
	// listStartupPeriod.
	listPeriod        = 2 * time.Second
	listStartupPeriod = 500 * time.Millisecond
	listStartupTime   = 6 * time.Second

	// listStaleMax is longer than a stale list can lag behind a write.
	listStaleMax = 10 * time.Second

	// listSettleTime is longer than running nodes take to write records again that the store has lost: one listPeriod with
	// its jitter, and the calls.
	listSettleTime = 2 * listPeriod

	headerMaxBytes = 64 << 10
	bodyMaxBytes   = 64 << 20
	headerTimeout  = 10 * time.Second
	idleTimeout    = 30 * time.Second
)

// Stores are the persistent stores of a node.
type Stores struct {
	Configuration syncer.Source
	Records       registrar.Store
}

// Node is a running node.
type Node interface {
	// Run serves until the context ends, then stops once the running requests have ended, or shortly before the stop time
	// is over.
	Run(ctx context.Context) error
	// Ready reports whether the node has a configuration and the list of nodes, and is not stopping.
	Ready() bool
	// ApplyReport applies a report of the backend server before it returns.
	ApplyReport(ctx context.Context, r executor.Report)
	// MarkLeaving marks a process of the backend server that sends no further reports as leaving; startedAtMs is the
	// start time of the process in milliseconds since 1970, or 0 if it is unknown.
	MarkLeaving(ctx context.Context, instance string, startedAtMs int64)
	// Apply replaces the bounds.
	Apply(b Bounds)
	// Meter returns the counters of the node.
	Meter() meter.Meter
	// Log returns the log of the node.
	Log() zerolog.Logger
}

type node struct {
	settings       Settings
	log            zerolog.Logger
	logWriter      logwriter.LogWriter
	meter          meter.Meter
	config         syncer.Syncer
	members        registrar.Registrar
	executor       executor.Executor
	clusterLimiter clusterlimiter.ClusterLimiter
	crashTracker   crashtracker.CrashTracker
	witness        crashtracker.Witness
	callerAcceptor acceptor.Acceptor
	peerAcceptor   acceptor.Acceptor
	stopping       chan struct{}
	forwarder      forwarder.Forwarder
	bounds         atomic.Pointer[Bounds]
	group          sync.WaitGroup

	// departed is the last record that said that the backend server is leaving, by an earlier process of this node.
	departedMu sync.Mutex
	departed   registrar.Record
}

// New returns a node with the settings, or an error if its metrics can't be registered.
func New(s Settings, stores Stores) (Node, error) {
	m, err := meter.New()
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	lw := logwriter.New(s.Log)
	n := &node{
		settings:  s,
		log:       zerolog.New(lw).With().Timestamp().Str("Node", s.Name).Logger(),
		logWriter: lw,
		meter:     m,
		stopping:  make(chan struct{}),
	}
	n.bounds.Store(&s.Bounds)
	n.buildCluster(stores)
	n.buildRequestPath()
	if err := n.observe(); err != nil {
		return nil, errors.Wrap(err, "register gauges")
	}
	return n, nil
}

// buildCluster builds the parts that share state with the stores and the other nodes.
func (n *node) buildCluster(stores Stores) {
	s := n.settings
	c := newPeerClient()
	own := registrar.Record{
		Member: s.Member.WithIncarnation(chivegauge.FirstIncarnation(timekeeper.Now().UnixMilli())),
	}
	settleTime := listSettleTime
	if s.FirstStart {
		settleTime = 0
	}
	n.members = registrar.New(registrar.Config{
		Timeout:       storeTimeout,
		NotifyTimeout: dialTimeout,
		Period:        listPeriod,
		StartupPeriod: listStartupPeriod,
		StartupTime:   listStartupTime,
		StaleMax:      listStaleMax,
		SettleTime:    settleTime,
		RetryMax:      storeRetryMax,
		Describe:      n.describe,
	}, stores.Records, c, own, n.log)
	n.config = syncer.New(syncConfig(s.Bounds), syncer.Parts{
		Now:     timekeeper.Now,
		Source:  stores.Configuration,
		Members: n.members,
		Peers:   c,
		Meter:   n.meter,
		Log:     n.log,
	})
	initial := restartBurstFraction
	if s.FirstStart {
		initial = 1
	}
	n.clusterLimiter = clusterlimiter.New(timekeeper.Now, n.members, c, initial)
	n.crashTracker = crashtracker.New(n.members, c, n, n.log)
	n.members.SubscribeRecords(n.mergeRefused)
	n.members.SubscribeDepartures(n.applyDeparture)
	n.witness = crashtracker.NewWitness(n.crashTracker, n.members)
	n.members.SubscribeChanges(func(rec registrar.Record) {
		n.witness.ApplyProcess(time.Now(), rec.Member.Address, rec.Process(), rec.Leaving)
	})
	n.config.Subscribe(func(r router.Router) { n.clusterLimiter.Configure(r.Workspaces()) })
	n.members.Subscribe(n.clusterLimiter.Resize)
}

// buildRequestPath builds the parts that handle requests.
func (n *node) buildRequestPath() {
	s := n.settings
	requestLog := n.log.Sample(zerolog.LevelSampler{
		InfoSampler: &zerolog.BurstSampler{
			Burst:  infoLinesPerSecond,
			Period: time.Second,
		},
		WarnSampler: &zerolog.BurstSampler{
			Burst:  warnLinesPerSecond,
			Period: time.Second,
		},
	})
	declaredLimit := limiter.NewDeclared(usableSlotsFraction)
	downstreamLimit := limiter.NewDownstream(declaredLimit)
	corr := correlator.New()
	n.executor = n.newExecutor(declaredLimit, downstreamLimit, corr, requestLog)
	n.forwarder = forwarder.New(forwarder.Config{
		Now:         timekeeper.Now,
		Names:       s.Names,
		Config:      n.config,
		Members:     n.members,
		RateLimiter: n.clusterLimiter,
		Local:       n.executor,
		Remote: transporter.New(transporter.Config{
			DialTimeout:     dialTimeout,
			AckTimeout:      peerAckTimeout,
			IdleTimeout:     peerIdleTimeout,
			AttemptHeader:   s.Names.Attempt,
			BodyBufferBytes: bodyBufferBytes,
		}, n.witness),
		Picker:               picker.New(s.Member.Zone, s.Member.Region),
		Correlator:           corr,
		CrashTracker:         n.crashTracker,
		DownstreamLimit:      downstreamLimit,
		RetryBudget:          budgeter.NewWindow(retryRatios(s.Bounds.RetryRatio), 0, s.RetryWindow),
		Meter:                n.meter,
		Log:                  requestLog,
		BodyBufferMax:        bodyBufferBytes,
		TransparentRetryTime: queueWaitMax,
		VerificationAgeMax:   n.verificationAgeMax,
	})
	n.members.Subscribe(n.forwarder.SetNodes)
	n.setRetryBudget(s.Bounds)
	n.callerAcceptor = acceptor.New(n.forwarder, n.limits)
	n.peerAcceptor = acceptor.New(&peerHandler{
		records:        n.members,
		clusterLimiter: n.clusterLimiter,
		config:         n.config,
		crashTracker:   n.crashTracker,
		ready:          n.Ready,
		receiver:       transporter.NewReceiver(s.Names, n.executor, bodyBufferBytes),
	}, peerLimits)
}

// newExecutor returns the executor of the backend server, with two concurrency limiters: one limits all requests to the
// usable slots, and one before it limits parents, which are requests that make nested calls, to the downstream limit.
func (n *node) newExecutor(declaredLimit limiter.Declared, downstreamLimit limiter.Limiter, corr correlator.Correlator, log zerolog.Logger) executor.Executor {
	s := n.settings
	newLimiter := func(l limiter.Limiter) concurrencylimiter.ConcurrencyLimiter {
		return concurrencylimiter.New(time.Now, l, scheduler.New(queueMax), concurrencylimiter.WithMaxWait(queueWaitMax))
	}
	return executor.New(executor.Config{
		Names:         s.Names,
		Limiter:       newLimiter(declaredLimit),
		ParentLimiter: newLimiter(downstreamLimit),
		Correlator:    corr,
		DeclaredLimit: declaredLimit,
		Backend: connector.New(connector.Config{
			Address:         s.BackendAddress,
			DialTimeout:     dialTimeout,
			IdleTimeout:     backendIdleTimeout,
			AttemptHeader:   s.Names.Attempt,
			BodyBufferBytes: bodyBufferBytes,
		}),
		CrashTracker: n.crashTracker,
		Publisher:    n,
		Log:          log,
		StateLog:     n.log,
	})
}

func (n *node) limits() acceptor.Limits {
	limits := peerLimits()
	r, ok := n.config.Router()
	if !ok {
		return limits
	}
	b := r.Bounds()
	if b.HeaderBytes > 0 {
		limits.HeaderBytes = b.HeaderBytes
	}
	if b.BodyBytes > 0 {
		limits.BodyBytes = b.BodyBytes
	}
	if b.HeaderTimeout > 0 {
		limits.HeaderTimeout = b.HeaderTimeout
	}
	if b.IdleTimeout > 0 {
		limits.IdleTimeout = b.IdleTimeout
	}
	return limits
}

func peerLimits() acceptor.Limits {
	return acceptor.Limits{
		HeaderBytes:   headerMaxBytes,
		BodyBytes:     bodyMaxBytes,
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

// Run serves until the context ends, then stops; it returns an error if it can't listen or a part fails.
func (n *node) Run(ctx context.Context) error {
	callerListener, err := net.Listen("tcp", n.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	peerListener, err := net.Listen("tcp", n.settings.Member.Address)
	if err != nil {
		return errors.Wrap(err, "listen for nodes")
	}
	n.log.Info().Str("Callers", n.settings.CallerAddress).Str("Peers", n.settings.Member.Address).Str("Service", n.settings.Member.Service).Msg("node started")
	nodeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, nodeCtx := errgroup.WithContext(nodeCtx)
	group.Go(func() error { return n.logWriter.Serve(nodeCtx) })
	group.Go(func() error { return n.config.Serve(nodeCtx) })
	group.Go(func() error { return n.members.Serve(nodeCtx) })
	group.Go(func() error { return n.crashTracker.Serve(nodeCtx) })
	group.Go(func() error { return n.callerAcceptor.Serve(nodeCtx, callerListener) })
	group.Go(func() error { return n.peerAcceptor.Serve(nodeCtx, peerListener) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			n.stop(nodeCtx, callerListener)
		case <-nodeCtx.Done():
		}
		_ = callerListener.Close()
		_ = peerListener.Close()
		cancel()
		return nil
	})
	err = group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}
