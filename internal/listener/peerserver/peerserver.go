package peerserver

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/messenger"
	"github.com/chivegauge/chivegauge/internal/listener/server"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/request/concurrencylimiter"
	"github.com/chivegauge/chivegauge/internal/request/tracker"
	"github.com/chivegauge/chivegauge/internal/request/transporter"
	"github.com/cloudwego/hertz/pkg/app"
	hertz "github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
)

// Executor runs attempts on the local backend server.
type Executor interface {
	Execute(ctx context.Context, c chivegauge.Call) chivegauge.Response
	Await(ctx context.Context, attempt tracker.Attempt) (res chivegauge.Response, running bool)
	Load() picker.Load
}

// PeerServer handles the requests that other nodes send.
type PeerServer interface {
	// Routes registers the handlers.
	Routes(e *hertz.Hertz)
}

type peerServer struct {
	now      concurrencylimiter.Clock
	executor Executor
	self     func() chivegauge.Member
	control  http.Handler
}

// New returns a peer server that runs attempts with the executor and passes control calls to control; self returns this
// node.
func New(now concurrencylimiter.Clock, executor Executor, self func() chivegauge.Member, control messenger.Control) PeerServer {
	return &peerServer{
		now:      now,
		executor: executor,
		self:     self,
		control:  messenger.NewControlServer(control),
	}
}

// Routes registers the handlers.
func (s *peerServer) Routes(e *hertz.Hertz) {
	e.POST(transporter.CallPath, s.call)
	e.POST(transporter.AwaitPath, s.await)
	e.POST("/twirp/*method", adaptor.HertzHandler(s.control))
}

func (s *peerServer) call(ctx context.Context, c *app.RequestContext) {
	get := func(name string) string { return string(c.Request.Header.Peek(name)) }
	call, err := transporter.DecodeCall(s.now(), get, server.Body(c))
	if err != nil {
		s.reply(c, chivegauge.RefusalResponse(call.AttemptID, chivegauge.Refuse(chivegauge.CodeBadRequest, err.Error()), 0))
		return
	}
	s.reply(c, s.executor.Execute(ctx, call))
}

func (s *peerServer) await(ctx context.Context, c *app.RequestContext) {
	id := string(c.Request.Header.Peek(chivegauge.HeaderAttempt))
	attempt, err := tracker.ParseAttempt(id)
	if err != nil {
		s.reply(c, chivegauge.RefusalResponse(id, chivegauge.Refuse(chivegauge.CodeBadRequest, err.Error()), 0))
		return
	}
	if !s.sameProcess(c) {
		refusal := chivegauge.RefuseMayHaveRun(chivegauge.CodeOutcomeUnknown, "the node was restarted since the attempt was sent")
		s.reply(c, chivegauge.RefusalResponse(id, refusal, 0))
		return
	}
	wait, err := strconv.Atoi(string(c.Request.Header.Peek(chivegauge.HeaderBudgetMs)))
	if err != nil {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(wait)*time.Millisecond)
	defer cancel()
	res, running := s.executor.Await(ctx, attempt)
	if running {
		c.SetStatusCode(http.StatusAccepted)
		return
	}
	s.reply(c, res)
}

// sameProcess reports whether the request was sent to this process of the node, not to an earlier one.
func (s *peerServer) sameProcess(c *app.RequestContext) bool {
	incarnation, err := transporter.DecodeIncarnation(string(c.Request.Header.Peek(transporter.HeaderIncarnation)))
	if err != nil {
		return false
	}
	target := chivegauge.Member{
		Incarnation: incarnation,
	}
	return target.Process() == s.self().Process()
}

func (s *peerServer) reply(c *app.RequestContext, res chivegauge.Response) {
	c.SetStatusCode(http.StatusOK)
	if err := transporter.EncodeResponse(res, c.Response.Header.Set); err != nil {
		c.SetStatusCode(http.StatusInternalServerError)
		return
	}
	c.Response.Header.Set(chivegauge.HeaderRunning, transporter.EncodeLoad(s.executor.Load()))
	c.Response.SetBodyRaw(res.Body)
}
