package runner

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/chivegauge/chivegauge/internal/app/supervisor"
	"github.com/chivegauge/chivegauge/internal/base/loader"
	"github.com/chivegauge/chivegauge/platform"
	"github.com/rs/zerolog"
)

type settingsOptions struct {
	Settings string `long:"settings" short:"s" required:"true" description:"settings file (YAML)"`
}

func (o settingsOptions) load() (loader.Settings, error) {
	s, err := loader.Load(o.Settings)
	if err != nil {
		return s, &exitError{
			code: ExitUsage,
			err:  err,
		}
	}
	return s, nil
}

type nodeCommand struct {
	settingsOptions
	env *environment
}

// Execute runs the node until the process gets SIGTERM or SIGINT.
func (c *nodeCommand) Execute([]string) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	log := zerolog.New(c.env.err).Level(level).With().Timestamp().Str("Node", s.Listeners.Peer.AdvertisedAddress()).Logger()
	node, err := supervisor.New(s, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return node.Run(ctx)
}

type checkCommand struct {
	settingsOptions
	Sidecar bool `long:"sidecar" description:"the file has the format of the Greensward platform"`
	env     *environment
}

// Execute checks the settings file and prints its main settings, or returns an error that lists its faults.
func (c *checkCommand) Execute([]string) error {
	if c.Sidecar {
		return c.checkSidecar()
	}
	s, err := c.load()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.env.out, "%s: settings of the node at %s (service %s, availability zone %s) are valid\n",
		c.Settings, s.Listeners.Peer.AdvertisedAddress(), s.Service, s.AvailabilityZone)
	return err
}

// checkSidecar checks a settings file in the format of the Greensward platform.
func (c *checkCommand) checkSidecar() error {
	s, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return &exitError{
			code: ExitUsage,
			err:  err,
		}
	}
	b := s.Bounds
	_, err = fmt.Fprintf(c.env.out, "%s: settings of the node %s at %s (service %s, availability zone %s) are valid\n"+
		"withdrawn keys stop within %v; a stop takes at most %v; retries: %v of the requests and %v in %v\n",
		c.Settings, s.Name, s.Member.Address, s.Member.Service, s.Member.Zone, b.KeyLifetime, b.StopTime, b.RetryRatio, b.RetrySlack, s.RetryWindow)
	return err
}
