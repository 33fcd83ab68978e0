package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/collector"
	"github.com/chivegauge/chivegauge/internal/cluster/planner"
	"github.com/chivegauge/chivegauge/internal/request/concurrencylimiter"
	"github.com/cloudwego/hertz/pkg/app"
	hertz "github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/go-faster/errors"
)

// Node provides the state that the listener serves.
type Node interface {
	Ready() bool
	Members() []chivegauge.Member
	Configuration() chivegauge.Configuration
	CollectStatus(ctx context.Context) collector.Status
	Metrics() http.Handler
}

// PlanRequest requests a plan for the intents.
type PlanRequest struct {
	Intents []planner.Intent
}

// ConfirmRequest confirms a plan on behalf of an operator.
type ConfirmRequest struct {
	Plan     planner.Plan
	Operator string
}

// ConfirmResponse holds the revision of the configuration that the plan created.
type ConfirmResponse struct {
	Revision uint64
}

// Fault is the response to a request that failed.
type Fault struct {
	Code    string
	Message string
}

// The codes of faults.
const (
	FaultCredential = "CredentialUnknown"
	FaultBad        = "BadRequest"
	FaultStale      = "PlanStale"
	FaultUnknown    = "OutcomeUnknown"
	FaultStore      = "StoreUnavailable"
)

// Operator handles the requests of operators.
type Operator interface {
	// Routes registers the handlers.
	Routes(e *hertz.Hertz)
}

type operator struct {
	now       concurrencylimiter.Clock
	tokenHash []byte
	node      Node
	planner   planner.Planner
}

// New returns an operator listener that requires the token with the given hash (SHA-256 in hexadecimal), or an error if
// the hash can't be decoded.
func New(now concurrencylimiter.Clock, tokenHash string, n Node, p planner.Planner) (Operator, error) {
	hash, err := hex.DecodeString(tokenHash)
	if err != nil {
		return nil, errors.Wrap(err, "decode token hash")
	}
	return &operator{
		now:       now,
		tokenHash: hash,
		node:      n,
		planner:   p,
	}, nil
}

// Routes registers the handlers.
func (o *operator) Routes(e *hertz.Hertz) {
	e.GET("/livez", o.livez)
	e.GET("/readyz", o.readyz)
	e.GET("/metrics", adaptor.HertzHandler(o.node.Metrics()))
	e.POST("/plan", o.authenticated(o.plan))
	e.POST("/confirm", o.authenticated(o.confirm))
	e.GET("/status", o.authenticated(o.status))
	e.GET("/audit", o.authenticated(o.audit))
	e.GET("/configuration", o.authenticated(o.configuration))
}

func (o *operator) authenticated(next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		token := strings.TrimPrefix(string(c.Request.Header.Peek("Authorization")), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(sum[:], o.tokenHash) != 1 {
			writeFault(c, http.StatusUnauthorized, FaultCredential, "the operator's credential is missing or wrong")
			return
		}
		next(ctx, c)
	}
}

func writeFault(c *app.RequestContext, status int, code, message string) {
	c.JSON(status, Fault{
		Code:    code,
		Message: message,
	})
}

func (o *operator) livez(_ context.Context, c *app.RequestContext) {
	c.String(http.StatusOK, "live\n")
}

func (o *operator) readyz(_ context.Context, c *app.RequestContext) {
	if !o.node.Ready() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

func (o *operator) plan(ctx context.Context, c *app.RequestContext) {
	req := PlanRequest{}
	if err := json.Unmarshal(c.Request.Body(), &req); err != nil {
		writeFault(c, http.StatusBadRequest, FaultBad, err.Error())
		return
	}
	p, err := o.planner.Plan(ctx, req.Intents)
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, p)
}

func (o *operator) confirm(ctx context.Context, c *app.RequestContext) {
	req := ConfirmRequest{}
	if err := json.Unmarshal(c.Request.Body(), &req); err != nil {
		writeFault(c, http.StatusBadRequest, FaultBad, err.Error())
		return
	}
	if req.Operator == "" {
		writeFault(c, http.StatusBadRequest, FaultBad, "Operator: is empty")
		return
	}
	revision, err := o.planner.Confirm(ctx, o.now(), req.Plan, req.Operator)
	if err != nil {
		writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, ConfirmResponse{
		Revision: revision,
	})
}

func writeError(c *app.RequestContext, err error) {
	stale := &planner.StaleError{}
	switch {
	case errors.As(err, &stale):
		writeFault(c, http.StatusConflict, FaultStale, err.Error())
	case errors.Is(err, planner.ErrOutcomeUnknown):
		writeFault(c, http.StatusBadGateway, FaultUnknown, err.Error())
	case errors.Is(err, planner.ErrStore):
		writeFault(c, http.StatusServiceUnavailable, FaultStore, err.Error())
	default:
		writeFault(c, http.StatusBadRequest, FaultBad, err.Error())
	}
}

func (o *operator) status(ctx context.Context, c *app.RequestContext) {
	s := o.node.CollectStatus(ctx)
	s.Revision = o.node.Configuration().Revision
	c.JSON(http.StatusOK, s)
}

func (o *operator) audit(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, o.node.Configuration().Audit)
}

func (o *operator) configuration(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, o.node.Configuration())
}
