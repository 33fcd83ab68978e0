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

// Node is what the listener shows of the node.
type Node interface {
	Ready() bool
	Members() []chivegauge.Member
	Configuration() chivegauge.Configuration
	CollectStatus(ctx context.Context) collector.Status
	Metrics() http.Handler
}

// PlanRequest asks for the plan of intents.
type PlanRequest struct {
	Intents []planner.Intent
}

// ConfirmRequest confirms a plan in the name of an operator.
type ConfirmRequest struct {
	Plan     planner.Plan
	Operator string
}

// ConfirmResponse says at which revision the plan took effect.
type ConfirmResponse struct {
	Revision uint64
}

// Fault is the answer to a request that can't be carried out.
type Fault struct {
	Code    string
	Message string
}

// The codes of a fault.
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
	now     concurrencylimiter.Clock
	hash    []byte
	node    Node
	planner planner.Planner
}

// New returns an operator listener that asks for the credential of the hash (hexadecimal SHA-256), or an error.
func New(now concurrencylimiter.Clock, tokenHash string, n Node, p planner.Planner) (Operator, error) {
	hash, err := hex.DecodeString(tokenHash)
	if err != nil {
		return nil, errors.Wrap(err, "decode token hash")
	}
	return &operator{
		now:     now,
		hash:    hash,
		node:    n,
		planner: p,
	}, nil
}

// Routes registers the handlers.
func (o *operator) Routes(e *hertz.Hertz) {
	e.GET("/livez", o.livez)
	e.GET("/readyz", o.readyz)
	e.GET("/metrics", adaptor.HertzHandler(o.node.Metrics()))
	e.POST("/plan", o.guarded(o.plan))
	e.POST("/confirm", o.guarded(o.confirm))
	e.GET("/status", o.guarded(o.status))
	e.GET("/audit", o.guarded(o.audit))
	e.GET("/configuration", o.guarded(o.configuration))
}

func (o *operator) guarded(next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		token := strings.TrimPrefix(string(c.Request.Header.Peek("Authorization")), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(sum[:], o.hash) != 1 {
			fault(c, http.StatusUnauthorized, FaultCredential, "the operator's credential is missing or wrong")
			return
		}
		next(ctx, c)
	}
}

func fault(c *app.RequestContext, status int, code, message string) {
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
		fault(c, http.StatusBadRequest, FaultBad, err.Error())
		return
	}
	p, err := o.planner.Plan(ctx, req.Intents)
	if err != nil {
		refuse(c, err)
		return
	}
	c.JSON(http.StatusOK, p)
}

func (o *operator) confirm(ctx context.Context, c *app.RequestContext) {
	req := ConfirmRequest{}
	if err := json.Unmarshal(c.Request.Body(), &req); err != nil {
		fault(c, http.StatusBadRequest, FaultBad, err.Error())
		return
	}
	if req.Operator == "" {
		fault(c, http.StatusBadRequest, FaultBad, "Operator: is empty")
		return
	}
	revision, err := o.planner.Confirm(ctx, o.now(), req.Plan, req.Operator)
	if err != nil {
		refuse(c, err)
		return
	}
	c.JSON(http.StatusOK, ConfirmResponse{
		Revision: revision,
	})
}

func refuse(c *app.RequestContext, err error) {
	stale := &planner.StaleError{}
	switch {
	case errors.As(err, &stale):
		fault(c, http.StatusConflict, FaultStale, err.Error())
	case errors.Is(err, planner.ErrOutcomeUnknown):
		fault(c, http.StatusBadGateway, FaultUnknown, err.Error())
	case errors.Is(err, planner.ErrStore):
		fault(c, http.StatusServiceUnavailable, FaultStore, err.Error())
	default:
		fault(c, http.StatusBadRequest, FaultBad, err.Error())
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
