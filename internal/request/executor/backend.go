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
	"github.com/chivegauge/chivegauge/internal/request/gatekeeper"
	"github.com/chivegauge/chivegauge/internal/telemetry/asserter"
)

type backend struct {
	url     string
	now     gatekeeper.Clock
	maxBody int64
	client  *http.Client
}

const (
	backendIdle = 90 * time.Second
	upTimeout   = 500 * time.Millisecond
)

// NewBackend returns a backend server at the URL, reached over at most connections connections.
func NewBackend(url string, now gatekeeper.Clock, connections int, maxBody int64) Backend {
	return &backend{
		url:     strings.TrimSuffix(url, "/"),
		now:     now,
		maxBody: maxBody,
		client: &http.Client{
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
			Transport: &http.Transport{
				MaxConnsPerHost:     connections,
				MaxIdleConnsPerHost: connections,
				MaxIdleConns:        connections,
				IdleConnTimeout:     backendIdle,
				DisableCompression:  true,
			},
		},
	}
}

// Send carries the call to the backend server once.
func (b *backend) Send(ctx context.Context, c chivegauge.Call, token string) (chivegauge.Answer, *chivegauge.Refusal) {
	sent := atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, c.Method, b.url+c.Target, OnceBody(c.Body))
	if err != nil {
		return chivegauge.Answer{}, chivegauge.Refuse(chivegauge.CodeBadRequest, "the request can't be built")
	}
	b.fill(req, c, token)
	res, err := b.client.Do(req)
	if err != nil {
		return chivegauge.Answer{}, failure(ctx, sent.Load())
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, b.maxBody+1))
	if err != nil {
		return chivegauge.Answer{}, failure(ctx, true)
	}
	if int64(len(body)) > b.maxBody {
		return chivegauge.Answer{}, chivegauge.Unknown(chivegauge.CodeTooLarge, "the answer is too large")
	}
	if echo := res.Header.Get(chivegauge.HeaderContext); echo != "" && echo != token {
		asserter.Check(asserter.AnswerMatchesAttempt, false)
		return chivegauge.Answer{}, chivegauge.Unknown(chivegauge.CodeOutcomeUnknown, "the answer belongs to another request")
	}
	return chivegauge.Answer{
		Status: res.StatusCode,
		Header: AnswerFields(res.Header),
		Body:   body,
	}, nil
}

// Up reports whether the backend server takes connections.
func (b *backend) Up() bool {
	u, err := url.Parse(b.url)
	if err != nil {
		return false
	}
	conn, err := net.DialTimeout("tcp", u.Host, upTimeout)
	if err != nil {
		b.client.CloseIdleConnections()
		return false
	}
	return conn.Close() == nil
}

// fill sets the headers that a backend server is given.
func (b *backend) fill(req *http.Request, c chivegauge.Call, token string) {
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

func failure(ctx context.Context, sent bool) *chivegauge.Refusal {
	if !sent {
		return chivegauge.Refuse(chivegauge.CodeNoBackend, "the backend server can't be reached")
	}
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return chivegauge.Unknown(chivegauge.CodeDeadline, "the deadline passed while the request ran")
	case context.Canceled:
		return chivegauge.Unknown(chivegauge.CodeCancelled, "cancelled while the request ran")
	default:
		return chivegauge.Unknown(chivegauge.CodeOutcomeUnknown, "the backend server broke off")
	}
}

// OnceBody returns a body that the HTTP client can't rewind, so that it never sends a request twice by itself.
func OnceBody(b []byte) io.ReadCloser {
	return io.NopCloser(io.MultiReader(bytes.NewReader(b)))
}

// AnswerFields returns the header fields of an answer that travel on to the caller.
func AnswerFields(h http.Header) []chivegauge.HeaderField {
	fields := make([]chivegauge.HeaderField, 0, len(h))
	for name, values := range h {
		if chivegauge.InternalHeader(name) || chivegauge.ConnectionHeader(name) {
			continue
		}
		for _, v := range values {
			fields = append(fields, chivegauge.HeaderField{
				Name:  name,
				Value: v,
			})
		}
	}
	return fields
}
