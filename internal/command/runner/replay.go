package runner

import (
	"fmt"
	"os"

	"github.com/chivegauge/chivegauge/internal/proof/replayer"
	"github.com/go-faster/errors"
)

type replayCommand struct {
	Args struct {
		Trace string `positional-arg-name:"TRACE" description:"file of recorded decisions"`
	} `positional-args:"true" required:"true"`
	env *environment
}

// Execute replays the trace and prints the faults: decisions that differ from the recorded ones, and stated outcomes
// that do not hold. It returns an error if there is a fault.
func (c *replayCommand) Execute([]string) error {
	f, err := os.Open(c.Args.Trace)
	if err != nil {
		return errors.Wrap(err, "open trace")
	}
	defer func() { _ = f.Close() }()
	result, err := replayer.Replay(f)
	if err != nil {
		return &exitError{
			code: ExitUsage,
			err:  err,
		}
	}
	for _, fault := range result.Faults {
		_, _ = fmt.Fprintln(c.env.out, fault)
	}
	if _, err := fmt.Fprintf(c.env.out, "%d events, %d faults\n", result.Events, len(result.Faults)); err != nil {
		return err
	}
	if len(result.Faults) > 0 {
		return errors.New("the replay of the trace found faults")
	}
	return nil
}
