package executor

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/base/validator"
	"github.com/chivegauge/chivegauge/internal/request/concurrencylimiter"
	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
)

// backend is a backend server that is reached over HTTP.
type backend struct {
	url          string
	now          concurrencylimiter.Clock
	maxBodyBytes int64
	client       *http.Client
}

const (
	idleConnTimeout = 90 * time.Second
	dialTimeout     = 500 * time.Millisecond

	// headMaxBytes is the maximum size of the head of a response; a faulty backend server may send one without end.
	headMaxBytes = 64 << 10
)

// NewBackend returns the backend server at the URL. At most connections connections to it are open, and a response body
// has at most maxBodyBytes bytes.
func NewBackend(url string, now concurrencylimiter.Clock, connections int, maxBodyBytes int64) Backend {
	return &backend{
		url:          strings.TrimSuffix(url, "/"),
		now:          now,
		maxBodyBytes: maxBodyBytes,
		client: &http.Client{
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
			Transport: validator.NewTransport(&http.Transport{
				MaxConnsPerHost:        connections,
				MaxIdleConnsPerHost:    connections,
				MaxIdleConns:           connections,
				IdleConnTimeout:        idleConnTimeout,
				DisableCompression:     true,
				MaxResponseHeaderBytes: headMaxBytes,
			}),
		},
	}
}

// Send sends the call to the backend server once.
func (b *backend) Send(ctx context.Context, c chivegauge.Call, token string) (chivegauge.Response, *chivegauge.Refusal) {
	valid, sent := atomic.Bool{}, atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { valid.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, c.Method, b.url+c.Target, SingleUseBody(c.Body))
	if err != nil {
		return chivegauge.Response{}, chivegauge.Refuse(chivegauge.CodeBadRequest, "the request can't be built")
	}
	b.setHeaders(req, c, token)
	res, err := b.client.Do(req)
	if err != nil && !valid.Load() && ctx.Err() == nil {
		return chivegauge.Response{}, chivegauge.Refuse(chivegauge.CodeBadRequest, "the request can't be sent: "+err.Error())
	}
	if err != nil {
		return chivegauge.Response{}, failureRefusal(ctx, sent.Load())
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, b.maxBodyBytes+1))
	if err != nil {
		return chivegauge.Response{}, failureRefusal(ctx, true)
	}
	if int64(len(body)) > b.maxBodyBytes {
		return chivegauge.Response{}, chivegauge.RefuseMayHaveRun(chivegauge.CodeTooLarge, "the answer is too large")
	}
	if echo := res.Header.Get(chivegauge.HeaderContext); echo != "" && echo != token {
		asserter.Check(asserter.AnswerMatchesAttempt, false)
		return chivegauge.Response{}, chivegauge.RefuseMayHaveRun(chivegauge.CodeOutcomeUnknown, "the answer belongs to another request")
	}
	return chivegauge.Response{
		Status:    res.StatusCode,
		Header:    chivegauge.OwnHeaderNames().EndToEnd(res.Header),
		Body:      body,
		RateLimit: rateLimit(res.Header),
	}, nil
}

// rateLimit returns the limit that the backend server announces in the header, or nil if it can't be parsed.
func rateLimit(h http.Header) *chivegauge.RateLimit {
	limit, ok := chivegauge.ParseRateLimit(h.Get(chivegauge.OwnHeaderNames().RateLimit))
	if !ok {
		return nil
	}
	return &limit
}

// Up reports whether the backend server accepts connections.
func (b *backend) Up() bool {
	u, err := url.Parse(b.url)
	if err != nil {
		return false
	}
	conn, err := net.DialTimeout("tcp", u.Host, dialTimeout)
	if err != nil {
		b.client.CloseIdleConnections()
		return false
	}
	return conn.Close() == nil
}

// setHeaders sets the headers of the call and the headers that chivegauge adds for the backend server.
func (b *backend) setHeaders(req *http.Request, c chivegauge.Call, token string) {
	req.ContentLength = int64(len(c.Body))
	for _, f := range c.Header {
		req.Header.Add(f.Name, f.Value)
	}
	if c.IdempotencyKey != "" {
		req.Header.Set(chivegauge.HeaderIdempotency, c.IdempotencyKey)
	}
	req.Header.Set(chivegauge.HeaderContext, token)
	req.Header.Set(chivegauge.HeaderRequest, c.RequestID)
	req.Header.Set(chivegauge.HeaderWorkspace, c.Workspace)
	req.Header.Set(chivegauge.HeaderBudgetMs, strconv.FormatInt(c.Budget(b.now()).Milliseconds(), 10))
	asserter.Check(asserter.NoKeyInward, req.Header.Get("Authorization") == "" && req.Header.Get(chivegauge.HeaderKey) == "")
}

// failureRefusal returns the refusal of a failed call; sent reports whether a connection was obtained, so that the call
// may have run.
func failureRefusal(ctx context.Context, sent bool) *chivegauge.Refusal {
	if !sent {
		return chivegauge.Refuse(chivegauge.CodeNoBackend, "the backend server can't be reached")
	}
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return chivegauge.RefuseMayHaveRun(chivegauge.CodeDeadline, "the deadline passed while the request ran")
	case context.Canceled:
		return chivegauge.RefuseMayHaveRun(chivegauge.CodeCancelled, "cancelled while the request ran")
	default:
		return chivegauge.RefuseMayHaveRun(chivegauge.CodeOutcomeUnknown, "the backend server broke off")
	}
}

// SingleUseBody returns a body that the HTTP client can't rewind, which prevents it from resending a request.
func SingleUseBody(b []byte) io.ReadCloser {
	return io.NopCloser(io.MultiReader(bytes.NewReader(b)))
}
