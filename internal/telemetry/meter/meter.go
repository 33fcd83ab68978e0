package meter

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Gauge is a metric whose value is read when the metrics are collected.
type Gauge struct {
	Name        string
	Description string
	Unit        string
	Read        func() float64
}

// Meter counts events, measures the duration of requests and serves all metrics.
type Meter interface {
	// CountRequest counts one request of a caller by its outcome and records its duration; the refusal is nil if a backend
	// server responded.
	CountRequest(workspace, route string, refusal *chivegauge.Refusal, took time.Duration)
	// CountAttempt counts one attempt to send a request to a member by the code of its refusal, which is nil if a backend
	// server responded.
	CountAttempt(refusal *chivegauge.Refusal)
	// CountStoreCall counts one call to the platform's store by its method and result.
	CountStoreCall(method string, err error)
	// CountStoreReturn counts one return of the platform's store from an older copy.
	CountStoreReturn()
	// RecordChangeDelay records an upper bound of the time from a change of the configuration to its use by this node.
	RecordChangeDelay(bound time.Duration)
	// CountRestart counts one restart of a part of the node after a failure.
	CountRestart(part string)
	// Observe registers gauges, or returns an error if one can't be registered.
	Observe(gauges ...Gauge) error
	// Handler serves the metrics.
	Handler() http.Handler
}

// outcome holds the label values of a series of requests.
type outcome struct {
	workspace string
	route     string
	code      string
}

// series holds the attributes of an outcome, built once and then cached.
type series struct {
	requests metric.MeasurementOption
	duration metric.MeasurementOption
}

// seriesMax is the number of outcomes whose attributes are cached; it is above the product of the numbers of routes,
// workspaces and codes that are in use at a time.
const seriesMax = 4096

type meter struct {
	registry *prometheus.Registry
	series   sync.Map
	cached   atomic.Int64
	codes    sync.Map
	meter    metric.Meter
	requests metric.Int64Counter
	attempts metric.Int64Counter
	calls    metric.Int64Counter
	returns  metric.Int64Counter
	restarts metric.Int64Counter
	duration metric.Float64Histogram
	delay    metric.Float64Histogram
}

// New returns a Meter, or an error if a metric can't be created.
func New() (Meter, error) {
	registry := prometheus.NewRegistry()
	exp, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "create Prometheus exporter")
	}
	m := &meter{
		registry: registry,
		meter:    sdk.NewMeterProvider(sdk.WithReader(exp)).Meter("chivegauge"),
	}
	if err := m.createInstruments(); err != nil {
		return nil, errors.Wrap(err, "create metric instruments")
	}
	return m, nil
}

func (m *meter) createInstruments() error {
	var err error
	if m.requests, err = m.meter.Int64Counter("chivegauge.requests", metric.WithDescription("Requests of callers by outcome")); err != nil {
		return err
	}
	if m.attempts, err = m.meter.Int64Counter("chivegauge.attempts", metric.WithDescription("Attempts to send requests to nodes by outcome")); err != nil {
		return err
	}
	if m.calls, err = m.meter.Int64Counter("chivegauge.store.calls", metric.WithDescription("Calls to the platform's store by method and result")); err != nil {
		return err
	}
	if m.returns, err = m.meter.Int64Counter("chivegauge.store.returns", metric.WithDescription("Returns of the platform's store from an older copy")); err != nil {
		return err
	}
	if m.restarts, err = m.meter.Int64Counter("chivegauge.restarts", metric.WithDescription("Parts of the node started again after a fault")); err != nil {
		return err
	}
	bounds := metric.WithExplicitBucketBoundaries(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5)
	if m.duration, err = m.meter.Float64Histogram("chivegauge.request.duration", metric.WithUnit("s"), bounds); err != nil {
		return err
	}
	delayBounds := metric.WithExplicitBucketBoundaries(0.05, 0.1, 0.25, 0.5, 0.75, 1, 1.25, 1.5, 1.75, 2, 2.5, 3, 4, 5, 10)
	if m.delay, err = m.meter.Float64Histogram("chivegauge.configuration.change.delay", metric.WithUnit("s"), delayBounds,
		metric.WithDescription("Upper bound of the time from a change of the configuration to its use by this node")); err != nil {
		return err
	}
	_, err = m.meter.Int64ObservableCounter("chivegauge.invariant.violations",
		metric.WithDescription("Violations of invariants by name"),
		metric.WithInt64Callback(observeViolations))
	return err
}

func observeViolations(_ context.Context, o metric.Int64Observer) error {
	for name, n := range asserter.Violations() {
		o.Observe(int64(n), metric.WithAttributes(attribute.String("invariant", name)))
	}
	return nil
}

// answered is the code label of requests to which a backend server responded.
const answered = "Answered"

// codeOf returns the code label for the refusal, which may be nil.
func codeOf(refusal *chivegauge.Refusal) string {
	if refusal == nil {
		return answered
	}
	return string(refusal.Code)
}

// CountRequest counts one request of a caller and records its duration.
func (m *meter) CountRequest(workspace, route string, refusal *chivegauge.Refusal, took time.Duration) {
	s := m.seriesOf(outcome{
		workspace: workspace,
		route:     route,
		code:      codeOf(refusal),
	})
	m.requests.Add(context.Background(), 1, s.requests)
	m.duration.Record(context.Background(), took.Seconds(), s.duration)
}

// seriesOf returns the attributes of the outcome, from the cache if they are in it.
func (m *meter) seriesOf(o outcome) *series {
	if s, ok := m.series.Load(o); ok {
		return s.(*series)
	}
	s := &series{
		requests: metric.WithAttributeSet(attribute.NewSet(
			attribute.String("workspace", o.workspace),
			attribute.String("route", o.route),
			attribute.String("code", o.code),
		)),
		duration: metric.WithAttributeSet(attribute.NewSet(attribute.String("route", o.route))),
	}
	if m.cached.Add(1) <= seriesMax {
		m.series.Store(o, s)
	}
	return s
}

// CountAttempt counts one attempt.
func (m *meter) CountAttempt(refusal *chivegauge.Refusal) {
	code := codeOf(refusal)
	option, ok := m.codes.Load(code)
	if !ok {
		option, _ = m.codes.LoadOrStore(code, metric.WithAttributeSet(attribute.NewSet(attribute.String("code", code))))
	}
	m.attempts.Add(context.Background(), 1, option.(metric.MeasurementOption))
}

// CountStoreCall counts one call to the store.
func (m *meter) CountStoreCall(method string, err error) {
	result := "Success"
	if err != nil {
		result = "Failure"
	}
	m.calls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("method", method), attribute.String("result", result)))
}

// CountStoreReturn counts one return of the store.
func (m *meter) CountStoreReturn() {
	m.returns.Add(context.Background(), 1)
}

// RecordChangeDelay records an upper bound of the time from a change of the configuration to its use by this node.
func (m *meter) RecordChangeDelay(bound time.Duration) {
	m.delay.Record(context.Background(), bound.Seconds())
}

// CountRestart counts one restart of a part of the node.
func (m *meter) CountRestart(part string) {
	m.restarts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("part", part)))
}

// Observe registers gauges.
func (m *meter) Observe(gauges ...Gauge) error {
	for _, g := range gauges {
		read := func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(g.Read())
			return nil
		}
		if _, err := m.meter.Float64ObservableGauge(g.Name, metric.WithDescription(g.Description), metric.WithUnit(g.Unit), metric.WithFloat64Callback(read)); err != nil {
			return errors.Wrapf(err, "register gauge %s", g.Name)
		}
	}
	return nil
}

// Handler serves the metrics.
func (m *meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
