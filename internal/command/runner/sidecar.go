package runner

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chivegauge/chivegauge/platform"
)

type sidecarCommand struct {
	env *environment
}

// Execute runs a node on the Greensward platform until the process gets SIGTERM or SIGINT; SIGHUP reloads the settings.
func (c *sidecarCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	return platform.Run(ctx, c.env.out, reload)
}
