package supervisor

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/app/stager"
	"github.com/chivegauge/chivegauge/internal/base/certifier"
	"github.com/chivegauge/chivegauge/internal/base/loader"
	"github.com/chivegauge/chivegauge/internal/base/timekeeper"
	"github.com/chivegauge/chivegauge/internal/cluster/collector"
	"github.com/chivegauge/chivegauge/internal/listener/exchanger"
	"github.com/chivegauge/chivegauge/internal/listener/operator"
	"github.com/chivegauge/chivegauge/internal/listener/receiver"
	"github.com/chivegauge/chivegauge/internal/listener/relayer"
	"github.com/chivegauge/chivegauge/internal/listener/server"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
)

const (
	sweepPeriod    = time.Second
	operatorBody   = 2 << 20
	controlBody    = 2 << 20
	backoffPeriod  = time.Second
	failureLimit   = 5
	shutdownMargin = 8 * time.Second
)

// Supervisor runs a node.
type Supervisor interface {
	// Run serves until the context ends, then stops without cutting a request.
	Run(ctx context.Context) error
}

type security struct {
	caller     *tls.Config
	peerServer *tls.Config
	peerClient *tls.Config
	operator   *tls.Config
}

type supervisor struct {
	settings loader.Settings
	log      zerolog.Logger
	security security
	parts    *parts
	stage    stager.Stager
	receiver receiver.Receiver
	moves    chan bool
}

// New returns the node of the settings, or an error.
func New(s loader.Settings, log zerolog.Logger) (Supervisor, error) {
	sec, err := newSecurity(s)
	if err != nil {
		return nil, err
	}
	p, err := newParts(s, sec, log)
	if err != nil {
		return nil, err
	}
	v := &supervisor{
		settings: s,
		log:      log,
		security: sec,
		parts:    p,
		moves:    make(chan bool, 1),
	}
	v.stage = stager.New(func(from, to stager.Stage) {
		log.Info().Str("From", string(from)).Str("To", string(to)).Msg("stage changed")
	})
	v.receiver = receiver.New(timekeeper.Now, p.config, p.dispatch, p.dedup, p.rates, p.meter, v.serving, receiver.Bounds{
		Tokens:  s.Retries.Tokens,
		MaxBody: s.Limits.BodyMaxBytes,
	})
	p.config.Subscribe(v.configured)
	p.slotter.Subscribe(v.settled)
	return v, v.gauges()
}

func newSecurity(s loader.Settings) (security, error) {
	sec := security{}
	var err error
	if sec.caller, err = certifier.Server(s.Listeners.Caller.TLS); err != nil {
		return sec, errors.Wrap(err, "Listeners.Caller")
	}
	if sec.operator, err = certifier.Server(s.Listeners.Operator.TLS); err != nil {
		return sec, errors.Wrap(err, "Listeners.Operator")
	}
	if sec.peerServer, sec.peerClient, err = certifier.Peer(s.Listeners.Peer.TLS); err != nil {
		return sec, errors.Wrap(err, "Listeners.Peer")
	}
	return sec, nil
}

// configured takes note of whether the configuration lets this backend server serve.
func (v *supervisor) configured(c chivegauge.Configuration) {
	v.settled()
	leave := c.Departed(v.settings.Listeners.Peer.Reached())
	select {
	case <-v.moves:
	default:
	}
	v.moves <- leave
}

// settled makes the node ready once it has a configuration and knows who keeps the rates.
func (v *supervisor) settled() {
	known := v.settings.Policy.Rates != ratesShares || v.parts.slotter.Synced()
	if known && v.parts.config.Version() > 0 {
		v.stage.Fire(stager.Configured)
	}
}

// serving reports whether callers are served.
func (v *supervisor) serving() bool {
	return v.stage.Stage() != stager.Starting
}

// Run serves until the context ends, then stops in the order of a planned stop.
func (v *supervisor) Run(ctx context.Context) error {
	tree := v.newTree("node")
	if err := v.add(tree); err != nil {
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
		EventHook:        v.event,
		FailureBackoff:   backoffPeriod,
		FailureThreshold: failureLimit,
		Timeout:          shutdownMargin,
	})
}

// event counts and logs a part that failed.
func (v *supervisor) event(e suture.Event) {
	if e.Type() == suture.EventTypeStopTimeout || e.Type() == suture.EventTypeResume {
		return
	}
	part, _ := e.Map()["service_name"].(string)
	v.parts.meter.Restarted(part)
	v.log.Error().Str("Part", part).Str("Event", e.String()).Msg("part failed")
}

// add puts each part under the supervisor; the listeners are a tree of their own.
func (v *supervisor) add(tree *suture.Supervisor) error {
	listeners := v.newTree("listeners")
	l := v.settings.Listeners
	body := v.settings.Limits.BodyMaxBytes
	op, err := operator.New(timekeeper.Now, l.Operator.TokenHash, v, v.parts.planner)
	if err != nil {
		return err
	}
	peers := &control{
		Heartbeater: v.parts.fleet,
		executor:    v.parts.executor,
		shares:      v.parts.shares,
		slotter:     v.parts.slotter,
		dedup:       v.parts.dedup,
		isolator:    v.parts.isolator,
	}
	exchange := exchanger.New(timekeeper.Now, v.parts.executor, v.parts.fleet.Self, peers)
	relay := relayer.New(timekeeper.Now, v.parts.executor, v.parts.config, v.parts.dedup)
	listeners.Add(v.listener("peer", l.Peer.Address, v.security.peerServer, max(body, controlBody), exchange.Routes))
	listeners.Add(v.listener("egress", l.Egress.Address, nil, body, relay.Routes))
	listeners.Add(v.listener("caller", l.Caller.Address, v.security.caller, 2*body, v.receiver.Routes))
	listeners.Add(v.listener("operator", l.Operator.Address, v.security.operator, operatorBody, op.Routes))
	tree.Add(listeners)
	tree.Add(part{"heartbeats", v.parts.fleet.Serve})
	tree.Add(part{"announcement", v.parts.announcer.Serve})
	tree.Add(part{"configuration", v.parts.watcher.Serve})
	tree.Add(part{"slots document", v.parts.slots.Serve})
	tree.Add(part{"slots", v.parts.slotter.Serve})
	tree.Add(part{"shares", v.parts.shares.Serve})
	tree.Add(part{"sweep", v.sweep})
	tree.Add(part{"departure", v.followConfiguration})
	tree.Add(part{"backend server", v.followBackend})
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

// Ready reports whether the node serves callers.
func (v *supervisor) Ready() bool {
	return v.stage.Stage() == stager.Ready
}

// Members returns the members known.
func (v *supervisor) Members() []chivegauge.Member {
	return v.parts.fleet.Members()
}

// Configuration returns the configuration in force.
func (v *supervisor) Configuration() chivegauge.Configuration {
	return v.parts.config.Configuration()
}

// Survey asks each member what it has in force.
func (v *supervisor) Survey(ctx context.Context) collector.Status {
	return v.parts.survey(ctx)
}

// Metrics serves the metrics.
func (v *supervisor) Metrics() http.Handler {
	return v.parts.meter.Handler()
}

func (v *supervisor) panicked(_ context.Context, c *app.RequestContext, err any, stack []byte) {
	v.parts.meter.Restarted("request")
	v.log.Error().Interface("Panic", err).Bytes("Stack", stack).Msg("request handler failed")
	server.Refuse(c, chivegauge.Unknown(chivegauge.CodeOutcomeUnknown, "the node failed while it handled the request"))
}
