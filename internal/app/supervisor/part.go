package supervisor

import (
	"context"
	"crypto/tls"

	"github.com/chivegauge/chivegauge/internal/listener/server"
	hertz "github.com/cloudwego/hertz/pkg/app/server"
)

// part is one supervised part of a node.
type part struct {
	name  string
	serve func(ctx context.Context) error
}

// Serve runs the part until the context ends.
func (p part) Serve(ctx context.Context) error {
	return p.serve(ctx)
}

// String returns the name under which the part is counted and logged.
func (p part) String() string {
	return p.name
}

func (v *supervisor) listener(name, address string, cfg *tls.Config, bodyMaxBytes int, routes func(e *hertz.Hertz)) part {
	s := server.New(server.Config{
		Address: address,
		TLS:     cfg,
		MaxBody: bodyMaxBytes,
		Routes:  routes,
		Panic:   v.onPanic,
	})
	return part{
		name:  name,
		serve: s.Serve,
	}
}
