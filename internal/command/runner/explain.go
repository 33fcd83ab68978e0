package runner

import (
	"github.com/chivegauge/chivegauge/internal/telemetry/explainer"
	"github.com/go-faster/errors"
)

type explainCommand struct {
	env  *environment
	Args struct {
		Request string `positional-arg-name:"REQUEST" description:"ID that the caller sent with its attempt"`
	} `positional-args:"yes" required:"yes"`
}

// Execute reads log lines of nodes from the standard input and prints those about the request.
func (c *explainCommand) Execute([]string) error {
	err := explainer.Explain(c.env.in, c.Args.Request, c.env.out)
	if errors.Is(err, explainer.ErrUnknown) {
		return &exitError{
			code: ExitUnknown,
			err:  err,
		}
	}
	return err
}
