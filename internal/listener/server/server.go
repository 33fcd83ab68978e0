package server

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/middlewares/server/recovery"
	hertz "github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/go-faster/errors"
)

const (
	idleTimeout     = 2 * time.Minute
	readTimeout     = 30 * time.Second
	headerMaxBytes  = 64 << 10
	shutdownTimeout = 300 * time.Millisecond
)

// Config is the configuration of a listener; MaxBody is in bytes, and Panic handles a panic of a handler.
type Config struct {
	Address string
	TLS     *tls.Config
	MaxBody int
	Routes  func(e *hertz.Hertz)
	Panic   func(ctx context.Context, c *app.RequestContext, err any, stack []byte)
}

// Server is the HTTP server of one listener.
type Server interface {
	// Serve accepts requests until the context ends, then waits a short time for running requests; it returns the error
	// of the listener or of the context.
	Serve(ctx context.Context) error
}

type server struct {
	cfg Config
}

// New returns a server for the listener, and limits the log of the HTTP library to fatal errors.
func New(cfg Config) Server {
	hlog.SetLevel(hlog.LevelFatal)
	return &server{
		cfg: cfg,
	}
}

// Serve accepts requests until the context ends.
func (s *server) Serve(ctx context.Context) error {
	h := s.engine()
	ended := make(chan error, 1)
	group := sync.WaitGroup{}
	group.Go(func() { ended <- h.Run() })
	defer group.Wait()
	select {
	case err := <-ended:
		return errors.Wrapf(err, "serve %s", s.cfg.Address)
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	_ = h.Shutdown(stopCtx)
	return ctx.Err()
}

func (s *server) engine() *hertz.Hertz {
	opts := []config.Option{
		hertz.WithHostPorts(s.cfg.Address),
		hertz.WithTransport(standard.NewTransporter),
		hertz.WithSenseClientDisconnection(true),
		hertz.WithMaxRequestBodySize(s.cfg.MaxBody),
		hertz.WithMaxHeaderBytes(headerMaxBytes),
		hertz.WithIdleTimeout(idleTimeout),
		hertz.WithReadTimeout(readTimeout),
		hertz.WithExitWaitTime(shutdownTimeout),
		hertz.WithDisablePrintRoute(true),
		hertz.WithDisableDefaultContentType(true),
		hertz.WithRedirectTrailingSlash(false),
	}
	if s.cfg.TLS != nil {
		opts = append(opts, hertz.WithTLS(s.cfg.TLS))
	}
	h := hertz.New(opts...)
	h.Use(recovery.Recovery(recovery.WithRecoveryHandler(s.cfg.Panic)))
	s.cfg.Routes(h)
	return h
}
