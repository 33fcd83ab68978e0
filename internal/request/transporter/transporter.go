package transporter

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/validator"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/request/concurrencylimiter"
	"github.com/chivegauge/chivegauge/internal/request/executor"
	"github.com/go-faster/errors"
)

const (
	idleConnTimeout  = 60 * time.Second
	idleConnsPerPeer = 64

	// responseMargin is the time beyond the deadline of a call in which its response may still arrive.
	responseMargin = 150 * time.Millisecond

	// awaitMax is the longest time that a peer waits for the outcome of an attempt before it replies that the attempt
	// still runs; awaitMargin is added to it for the exchange itself.
	awaitMax    = time.Second
	awaitMargin = 500 * time.Millisecond

	// headMaxBytes is the maximum size of the head of a response, which holds the header of the backend server's response
	// as JSON: 64 KB at most, and up to six times as much with escapes.
	headMaxBytes = 512 << 10

	// awaitFailuresMax is the number of failed queries in succession after which the outcome of an attempt is unknown.
	awaitFailuresMax = 2

	// closeGrace is the time in which the first exchange may end after the outcome of its attempt is known.
	closeGrace = 5 * time.Millisecond
)

// Canceller cancels an attempt that runs at a peer.
type Canceller interface {
	Cancel(ctx context.Context, m chivegauge.Member, attemptID string)
}

// Transporter sends attempts to other nodes.
type Transporter interface {
	// Send sends the call to the member and returns the response of its backend server and the load there, or a refusal
	// that says whether the call may have run.
	Send(ctx context.Context, m chivegauge.Member, c chivegauge.Call) (chivegauge.Response, picker.Load)
	// Wait blocks until all started exchanges have ended.
	Wait()
}

type transporter struct {
	scheme         string
	now            concurrencylimiter.Clock
	silenceTimeout time.Duration
	maxBody        int64
	pooled         *http.Client
	unpooled       *http.Client
	canceller      Canceller
	group          sync.WaitGroup
}

// Option configures a transporter.
type Option func(*transporter)

// WithTLS uses TLS for connections to peers.
func WithTLS(cfg *tls.Config) Option {
	return func(t *transporter) {
		t.scheme = "https"
		t.pooled = newClient(cfg, true)
		t.unpooled = newClient(cfg, false)
	}
}

// New returns a transporter that queries the outcome of an attempt over a new connection when no response has come
// within the silence timeout; maxBody is the maximum size of a response body in bytes.
func New(now concurrencylimiter.Clock, silenceTimeout time.Duration, maxBody int64, c Canceller, opts ...Option) Transporter {
	t := &transporter{
		scheme:         "http",
		now:            now,
		silenceTimeout: silenceTimeout,
		maxBody:        maxBody,
		pooled:         newClient(nil, true),
		unpooled:       newClient(nil, false),
		canceller:      c,
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// newClient returns an HTTP client; without keepAlive each request opens a new connection.
func newClient(cfg *tls.Config, keepAlive bool) *http.Client {
	return &http.Client{
		Transport: validator.NewTransport(&http.Transport{
			TLSClientConfig:        cfg,
			MaxIdleConnsPerHost:    idleConnsPerPeer,
			IdleConnTimeout:        idleConnTimeout,
			DisableCompression:     true,
			DisableKeepAlives:      !keepAlive,
			MaxResponseHeaderBytes: headMaxBytes,
		}),
	}
}

// result is the result of one HTTP exchange with a peer.
type result struct {
	response chivegauge.Response
	load     picker.Load
	sent     bool // a connection was obtained, so the call may have run
	running  bool // the peer reports that the attempt still runs
	err      error
}

// Send sends the attempt; if the connection is silent or breaks, it queries the outcome over new connections.
func (t *transporter) Send(ctx context.Context, m chivegauge.Member, c chivegauge.Call) (chivegauge.Response, picker.Load) {
	timeout := c.Budget(t.now()) + responseMargin
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	first := make(chan result, 1)
	ended := make(chan struct{})
	t.group.Go(func() {
		first <- t.postCall(callCtx, m, c)
		close(ended)
	})
	timer := time.NewTimer(t.silenceTimeout)
	defer timer.Stop()
	select {
	case res := <-first:
		if res.err == nil {
			return res.response, res.load
		}
		if !res.sent {
			return unreachable(c), picker.Load{}
		}
	case <-timer.C:
	}
	res := t.awaitOutcome(callCtx, m, c, first)
	t.closeSilentConns(ended)
	if res.err != nil {
		return t.unknownOutcome(ctx, m, c), picker.Load{}
	}
	if r := res.response.Refusal; r != nil && r.Code == chivegauge.CodeUnreachable {
		return unreachable(c), res.load
	}
	return res.response, res.load
}

func unreachable(c chivegauge.Call) chivegauge.Response {
	refusal := chivegauge.Refuse(chivegauge.CodeUnreachable, "the node can't be reached")
	return chivegauge.RefusalResponse(c.AttemptID, refusal, c.Tokens)
}

// unknownOutcome cancels the attempt at the peer and returns a refusal that says that its outcome is unknown.
func (t *transporter) unknownOutcome(ctx context.Context, m chivegauge.Member, c chivegauge.Call) chivegauge.Response {
	t.group.Go(func() { t.canceller.Cancel(context.WithoutCancel(ctx), m, c.AttemptID) })
	code := chivegauge.CodeOutcomeUnknown
	message := "the node that ran the request does not answer"
	if ctx.Err() != nil {
		code = chivegauge.CodeCancelled
		message = "cancelled while the request ran"
	} else if c.Budget(t.now()) == 0 {
		code = chivegauge.CodeDeadline
		message = "the deadline passed while the request ran"
	}
	return chivegauge.RefusalResponse(c.AttemptID, chivegauge.RefuseMayHaveRun(code, message), 0)
}

// awaitOutcome queries the attempt over new connections until a query or the first exchange returns the response, or
// until awaitFailuresMax queries in succession have failed.
func (t *transporter) awaitOutcome(ctx context.Context, m chivegauge.Member, c chivegauge.Call, first <-chan result) result {
	failures := 0
	for failures < awaitFailuresMax && ctx.Err() == nil {
		awaited := make(chan result, 1)
		awaitCtx, cancel := context.WithTimeout(ctx, awaitMax+awaitMargin)
		t.group.Go(func() { awaited <- t.postAwait(awaitCtx, m, c) })
		res, ok := t.firstOutcome(awaitCtx, first, awaited)
		cancel()
		switch {
		case ok && res.err == nil && !res.running:
			return res
		case ok && res.running:
			failures = 0
		default:
			failures++
		}
	}
	return result{
		err: errors.New("no response to the queries of the attempt outcome"),
	}
}

// closeSilentConns closes the idle pooled connections if the first exchange has not ended although the outcome is
// known.
func (t *transporter) closeSilentConns(ended <-chan struct{}) {
	timer := time.NewTimer(closeGrace)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		t.pooled.CloseIdleConnections()
	}
}

// firstOutcome returns the result of the first exchange if it succeeds, or else the result of the query, and false if
// the context ends before that.
func (t *transporter) firstOutcome(ctx context.Context, first, awaited <-chan result) (result, bool) {
	for {
		select {
		case res := <-first:
			if res.err == nil {
				return res, true
			}
		case res := <-awaited:
			return res, true
		case <-ctx.Done():
			return result{}, false
		}
	}
}

// postCall posts the call to the peer over a pooled connection.
func (t *transporter) postCall(ctx context.Context, m chivegauge.Member, c chivegauge.Call) result {
	sent := atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url(m, CallPath), executor.SingleUseBody(c.Body))
	if err != nil {
		return result{
			err: err,
		}
	}
	req.ContentLength = int64(len(c.Body))
	req.Header.Set(HeaderIncarnation, EncodeIncarnation(m.Incarnation))
	if err := EncodeCall(t.now(), c, req.Header.Set); err != nil {
		return result{
			err: err,
		}
	}
	res := t.roundTrip(t.pooled, req, c.AttemptID)
	res.sent = sent.Load()
	return res
}

// postAwait queries the attempt over a new connection; the peer waits at most awaitMax for its outcome.
func (t *transporter) postAwait(ctx context.Context, m chivegauge.Member, c chivegauge.Call) result {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url(m, AwaitPath), http.NoBody)
	if err != nil {
		return result{
			err: err,
		}
	}
	req.Header.Set(chivegauge.HeaderAttempt, c.AttemptID)
	req.Header.Set(chivegauge.HeaderBudgetMs, strconv.FormatInt(awaitMax.Milliseconds(), 10))
	req.Header.Set(HeaderIncarnation, EncodeIncarnation(m.Incarnation))
	return t.roundTrip(t.unpooled, req, c.AttemptID)
}

func (t *transporter) url(m chivegauge.Member, path string) string {
	return t.scheme + "://" + m.Address + path
}

// roundTrip sends the request and reads the whole response; a response to another attempt is an error.
func (t *transporter) roundTrip(client *http.Client, req *http.Request, attemptID string) result {
	res, err := client.Do(req)
	if err != nil {
		return result{
			err: err,
		}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, t.maxBody+1))
	if err != nil {
		return result{
			err: err,
		}
	}
	if res.StatusCode == http.StatusAccepted {
		return result{
			running: true,
		}
	}
	if int64(len(body)) > t.maxBody {
		refusal := chivegauge.RefuseMayHaveRun(chivegauge.CodeTooLarge, "the answer of the node is too large")
		return result{
			response: chivegauge.RefusalResponse(attemptID, refusal, 0),
		}
	}
	response, err := decodeResponse(res.Header, body)
	if err != nil {
		return result{
			err: err,
		}
	}
	if response.AttemptID != attemptID {
		return result{
			err: errors.New("response is for another attempt"),
		}
	}
	return result{
		response: response,
		load:     DecodeLoad(res.Header.Get(chivegauge.HeaderRunning)),
	}
}

// Wait blocks until all started exchanges have ended.
func (t *transporter) Wait() {
	t.group.Wait()
}
