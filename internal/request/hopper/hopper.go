package hopper

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
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/request/executor"
	"github.com/chivegauge/chivegauge/internal/request/gatekeeper"
	"github.com/go-faster/errors"
)

const (
	idleTimeout     = 60 * time.Second
	idlePerPeer     = 64
	answerSlack     = 150 * time.Millisecond
	awaitMax        = time.Second
	awaitSlack      = 500 * time.Millisecond
	awaitFailureMax = 2
	silentSlack     = 5 * time.Millisecond
)

// Canceller tells a peer that an attempt is no longer waited for.
type Canceller interface {
	Cancel(ctx context.Context, m chivegauge.Member, attemptID string)
}

// Hopper carries attempts to other nodes.
type Hopper interface {
	// Hop returns the answer of the member's backend server, or a refusal that says what is known of the run.
	Hop(ctx context.Context, m chivegauge.Member, c chivegauge.Call) (chivegauge.Answer, picker.Load)
	// Wait returns when each started exchange has ended.
	Wait()
}

type hopper struct {
	scheme  string
	now     gatekeeper.Clock
	silence time.Duration
	maxBody int64
	pooled  *http.Client
	fresh   *http.Client
	cancel  Canceller
	group   sync.WaitGroup
}

// Option changes a hopper when it is made.
type Option func(*hopper)

// WithTLS makes the hopper use TLS towards peers.
func WithTLS(cfg *tls.Config) Option {
	return func(h *hopper) {
		h.scheme = "https"
		h.pooled = client(cfg, true)
		h.fresh = client(cfg, false)
	}
}

// New returns a hopper that asks over a new connection after silence without an answer.
func New(now gatekeeper.Clock, silence time.Duration, maxBody int64, c Canceller, opts ...Option) Hopper {
	h := &hopper{
		scheme:  "http",
		now:     now,
		silence: silence,
		maxBody: maxBody,
		pooled:  client(nil, true),
		fresh:   client(nil, false),
		cancel:  c,
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

func client(cfg *tls.Config, keepAlive bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			TLSClientConfig:     cfg,
			MaxIdleConnsPerHost: idlePerPeer,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			DisableKeepAlives:   !keepAlive,
		},
	}
}

// exchange is the outcome of one HTTP exchange with a peer.
type exchange struct {
	answer  chivegauge.Answer
	load    picker.Load
	sent    bool
	running bool
	err     error
}

// Hop sends the attempt and, when the connection is silent or breaks, asks for it over new ones.
func (h *hopper) Hop(ctx context.Context, m chivegauge.Member, c chivegauge.Call) (chivegauge.Answer, picker.Load) {
	wait := c.Budget(h.now()) + answerSlack
	callCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	first := make(chan exchange, 1)
	ended := make(chan struct{})
	h.group.Go(func() {
		first <- h.send(callCtx, m, c)
		close(ended)
	})
	timer := time.NewTimer(h.silence)
	defer timer.Stop()
	select {
	case x := <-first:
		if x.err == nil {
			return x.answer, x.load
		}
		if !x.sent {
			return unreachable(c), picker.Load{}
		}
	case <-timer.C:
	}
	x := h.follow(callCtx, m, c, first)
	h.dropSilent(ended)
	if x.err != nil {
		return h.lost(ctx, m, c), picker.Load{}
	}
	if r := x.answer.Refusal; r != nil && r.Code == chivegauge.CodeUnreachable {
		return unreachable(c), x.load
	}
	return x.answer, x.load
}

func unreachable(c chivegauge.Call) chivegauge.Answer {
	refusal := chivegauge.Refuse(chivegauge.CodeUnreachable, "the node can't be reached")
	return chivegauge.RefusalAnswer(c.AttemptID, refusal, c.Tokens)
}

// lost answers for an attempt whose outcome is not known, after telling the peer to end it.
func (h *hopper) lost(ctx context.Context, m chivegauge.Member, c chivegauge.Call) chivegauge.Answer {
	h.group.Go(func() { h.cancel.Cancel(context.WithoutCancel(ctx), m, c.AttemptID) })
	code := chivegauge.CodeOutcomeUnknown
	message := "the node that ran the request does not answer"
	if ctx.Err() != nil {
		code = chivegauge.CodeCancelled
		message = "cancelled while the request ran"
	} else if c.Budget(h.now()) == 0 {
		code = chivegauge.CodeDeadline
		message = "the deadline passed while the request ran"
	}
	return chivegauge.RefusalAnswer(c.AttemptID, chivegauge.Unknown(code, message), 0)
}

// follow asks for the attempt over new connections until one of them, or the first, has its answer.
func (h *hopper) follow(ctx context.Context, m chivegauge.Member, c chivegauge.Call, first <-chan exchange) exchange {
	failures := 0
	for failures < awaitFailureMax && ctx.Err() == nil {
		asked := make(chan exchange, 1)
		askCtx, cancel := context.WithTimeout(ctx, awaitMax+awaitSlack)
		h.group.Go(func() { asked <- h.await(askCtx, m, c) })
		x, ok := h.either(askCtx, first, asked)
		cancel()
		switch {
		case ok && x.err == nil && !x.running:
			return x
		case ok && x.running:
			failures = 0
		default:
			failures++
		}
	}
	return exchange{
		err: errors.New("no answer"),
	}
}

// dropSilent closes the kept connections if the first exchange has not ended although the outcome is known.
func (h *hopper) dropSilent(ended <-chan struct{}) {
	timer := time.NewTimer(silentSlack)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		h.pooled.CloseIdleConnections()
	}
}

// either returns the first whole answer of the two exchanges, or what the asked one said.
func (h *hopper) either(ctx context.Context, first, asked <-chan exchange) (exchange, bool) {
	for {
		select {
		case x := <-first:
			if x.err == nil {
				return x, true
			}
		case x := <-asked:
			return x, true
		case <-ctx.Done():
			return exchange{}, false
		}
	}
}

func (h *hopper) send(ctx context.Context, m chivegauge.Member, c chivegauge.Call) exchange {
	sent := atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url(m, CallPath), executor.OnceBody(c.Body))
	if err != nil {
		return exchange{
			err: err,
		}
	}
	req.ContentLength = int64(len(c.Body))
	req.Header.Set(HeaderIncarnation, EncodeIncarnation(m.Incarnation))
	if err := EncodeCall(h.now(), c, req.Header.Set); err != nil {
		return exchange{
			err: err,
		}
	}
	x := h.exchange(h.pooled, req, c.AttemptID)
	x.sent = sent.Load()
	return x
}

func (h *hopper) await(ctx context.Context, m chivegauge.Member, c chivegauge.Call) exchange {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url(m, AwaitPath), http.NoBody)
	if err != nil {
		return exchange{
			err: err,
		}
	}
	req.Header.Set(chivegauge.HeaderAttempt, c.AttemptID)
	req.Header.Set(chivegauge.HeaderBudgetMs, strconv.FormatInt(awaitMax.Milliseconds(), 10))
	req.Header.Set(HeaderIncarnation, EncodeIncarnation(m.Incarnation))
	return h.exchange(h.fresh, req, c.AttemptID)
}

func (h *hopper) url(m chivegauge.Member, path string) string {
	return h.scheme + "://" + m.Address + path
}

// exchange sends the request and reads the whole answer; one of another attempt is an error.
func (h *hopper) exchange(client *http.Client, req *http.Request, attemptID string) exchange {
	res, err := client.Do(req)
	if err != nil {
		return exchange{
			err: err,
		}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, h.maxBody+1))
	if err != nil {
		return exchange{
			err: err,
		}
	}
	if res.StatusCode == http.StatusAccepted {
		return exchange{
			running: true,
		}
	}
	a, err := decodeAnswer(res.Header, body)
	if err != nil {
		return exchange{
			err: err,
		}
	}
	if a.AttemptID != attemptID {
		return exchange{
			err: errors.New("the answer belongs to another attempt"),
		}
	}
	return exchange{
		answer: a,
		load:   DecodeLoad(res.Header.Get(chivegauge.HeaderRunning)),
	}
}

// Wait returns when each started exchange has ended.
func (h *hopper) Wait() {
	h.group.Wait()
}
