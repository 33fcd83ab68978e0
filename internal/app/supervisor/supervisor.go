package supervisor

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/app/stager"
	"github.com/chivegauge/chivegauge/internal/base/certloader"
	"github.com/chivegauge/chivegauge/internal/base/loader"
	"github.com/chivegauge/chivegauge/internal/base/timekeeper"
	"github.com/chivegauge/chivegauge/internal/cluster/collector"
	"github.com/chivegauge/chivegauge/internal/listener/operator"
	"github.com/chivegauge/chivegauge/internal/listener/peerserver"
	"github.com/chivegauge/chivegauge/internal/listener/receiver"
	"github.com/chivegauge/chivegauge/internal/listener/relayer"
	"github.com/chivegauge/chivegauge/internal/listener/server"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
)

const (
	sweepPeriod          = time.Second
	operatorBodyMaxBytes = 2 << 20
	controlBodyMaxBytes  = 2 << 20
	failureBackoff       = time.Second
	failureThreshold     = 5
	partStopTimeout      = 8 * time.Second
)

// Supervisor runs a node.
type Supervisor interface {
	// Run serves until the context ends, then stops once the running requests have ended, or after a timeout.
	Run(ctx context.Context) error
}

type tlsConfigs struct {
	caller     *tls.Config
	peerServer *tls.Config
	peerClient *tls.Config
	operator   *tls.Config
}

type supervisor struct {
	settings   loader.Settings
	log        zerolog.Logger
	tlsConfigs tlsConfigs
	parts      *parts
	stage      stager.Stager
	receiver   receiver.Receiver
	departures chan bool
}

// New returns a node with the settings, or an error if a part can't be built.
func New(s loader.Settings, log zerolog.Logger) (Supervisor, error) {
	tlsCfg, err := newTLSConfigs(s)
	if err != nil {
		return nil, err
	}
	p, err := newParts(s, tlsCfg, log)
	if err != nil {
		return nil, err
	}
	v := &supervisor{
		settings:   s,
		log:        log,
		tlsConfigs: tlsCfg,
		parts:      p,
		departures: make(chan bool, 1),
	}
	v.stage = stager.New(func(from, to stager.Stage) {
		log.Info().Str("From", string(from)).Str("To", string(to)).Msg("stage changed")
	})
	v.receiver = receiver.New(timekeeper.Now, p.config, p.dispatcher, p.dedup, p.rateLimiter, p.meter, v.serving, receiver.Bounds{
		Tokens:  s.Retries.Tokens,
		MaxBody: s.Limits.BodyMaxBytes,
	})
	p.config.Subscribe(v.onConfiguration)
	p.reconciler.Subscribe(v.checkConfigured)
	return v, v.registerGauges()
}

func newTLSConfigs(s loader.Settings) (tlsConfigs, error) {
	tlsCfg := tlsConfigs{}
	var err error
	if tlsCfg.caller, err = certloader.Server(s.Listeners.Caller.TLS); err != nil {
		return tlsCfg, errors.Wrap(err, "Listeners.Caller")
	}
	if tlsCfg.operator, err = certloader.Server(s.Listeners.Operator.TLS); err != nil {
		return tlsCfg, errors.Wrap(err, "Listeners.Operator")
	}
	if tlsCfg.peerServer, tlsCfg.peerClient, err = certloader.Peer(s.Listeners.Peer.TLS); err != nil {
		return tlsCfg, errors.Wrap(err, "Listeners.Peer")
	}
	return tlsCfg, nil
}

// onConfiguration queues whether the configuration lists this backend server as departed, in place of a queued earlier
// value.
func (v *supervisor) onConfiguration(c chivegauge.Configuration) {
	v.checkConfigured()
	departed := c.Departed(v.settings.Listeners.Peer.AdvertisedAddress())
	select {
	case <-v.departures:
	default:
	}
	v.departures <- departed
}

// checkConfigured fires Configured once the node has a configuration and, if rates are shared by slots, the document
// that names the owners of the slots.
func (v *supervisor) checkConfigured() {
	ratesReady := v.settings.Policy.Rates != ratesShares || v.parts.reconciler.Synced()
	if ratesReady && v.parts.config.Version() > 0 {
		v.stage.Fire(stager.Configured)
	}
}

// serving reports whether callers are served, which is the case in every stage but Starting.
func (v *supervisor) serving() bool {
	return v.stage.Stage() != stager.Starting
}

// Run serves until the context ends, then stops in the order of a planned stop.
func (v *supervisor) Run(ctx context.Context) error {
	tree := v.newTree("node")
	if err := v.addParts(tree); err != nil {
		return err
	}
	treeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := tree.ServeBackground(treeCtx)
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	v.stop(context.WithoutCancel(ctx))
	cancel()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func (v *supervisor) newTree(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		EventHook:        v.onEvent,
		FailureBackoff:   failureBackoff,
		FailureThreshold: failureThreshold,
		Timeout:          partStopTimeout,
	})
}

// onEvent counts and logs the failure of a part.
func (v *supervisor) onEvent(e suture.Event) {
	if e.Type() == suture.EventTypeStopTimeout || e.Type() == suture.EventTypeResume {
		return
	}
	part, _ := e.Map()["service_name"].(string)
	v.parts.meter.CountRestart(part)
	v.log.Error().Str("Part", part).Str("Event", e.String()).Msg("part failed")
}

// addParts adds each part to the supervisor tree; the listeners are a subtree.
func (v *supervisor) addParts(tree *suture.Supervisor) error {
	listeners := v.newTree("listeners")
	l := v.settings.Listeners
	body := v.settings.Limits.BodyMaxBytes
	op, err := operator.New(timekeeper.Now, l.Operator.TokenHash, v, v.parts.planner)
	if err != nil {
		return err
	}
	peers := &control{
		Heartbeater:  v.parts.fleet,
		executor:     v.parts.executor,
		leaseLimiter: v.parts.leaseLimiter,
		reconciler:   v.parts.reconciler,
		dedup:        v.parts.dedup,
		isolator:     v.parts.isolator,
	}
	peerServer := peerserver.New(timekeeper.Now, v.parts.executor, v.parts.fleet.Self, peers)
	relay := relayer.New(timekeeper.Now, v.parts.executor, v.parts.config, v.parts.dedup)
	listeners.Add(v.listener("peer", l.Peer.Address, v.tlsConfigs.peerServer, max(body, controlBodyMaxBytes), peerServer.Routes))
	listeners.Add(v.listener("egress", l.Egress.Address, nil, body, relay.Routes))
	listeners.Add(v.listener("caller", l.Caller.Address, v.tlsConfigs.caller, 2*body, v.receiver.Routes))
	listeners.Add(v.listener("operator", l.Operator.Address, v.tlsConfigs.operator, operatorBodyMaxBytes, op.Routes))
	tree.Add(listeners)
	tree.Add(part{"heartbeats", v.parts.fleet.Serve})
	tree.Add(part{"announcement", v.parts.announcer.Serve})
	tree.Add(part{"configuration", v.parts.watcher.Serve})
	tree.Add(part{"slots document", v.parts.slotsWatcher.Serve})
	tree.Add(part{"slots", v.parts.reconciler.Serve})
	tree.Add(part{"shares", v.parts.leaseLimiter.Serve})
	tree.Add(part{"sweep", v.sweep})
	tree.Add(part{"departure", v.followDeparture})
	tree.Add(part{"backend server", v.monitorBackend})
	return nil
}

func (v *supervisor) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			v.parts.executor.Sweep(timekeeper.Now())
			v.parts.dedup.Sweep(timekeeper.Now())
		}
	}
}

// Ready reports whether the node is in the stage Ready.
func (v *supervisor) Ready() bool {
	return v.stage.Stage() == stager.Ready
}

// Members returns the known members.
func (v *supervisor) Members() []chivegauge.Member {
	return v.parts.fleet.Members()
}

// Configuration returns the active configuration.
func (v *supervisor) Configuration() chivegauge.Configuration {
	return v.parts.config.Configuration()
}

// CollectStatus queries the active configuration and the load of each member.
func (v *supervisor) CollectStatus(ctx context.Context) collector.Status {
	return v.parts.collectStatus(ctx)
}

// Metrics serves the metrics.
func (v *supervisor) Metrics() http.Handler {
	return v.parts.meter.Handler()
}

func (v *supervisor) onPanic(_ context.Context, c *app.RequestContext, err any, stack []byte) {
	v.parts.meter.CountRestart("request")
	v.log.Error().Interface("Panic", err).Bytes("Stack", stack).Msg("request handler failed")
	server.Refuse(c, chivegauge.RefuseMayHaveRun(chivegauge.CodeOutcomeUnknown, "the node failed while it handled the request"))
}
