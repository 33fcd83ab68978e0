package runner

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
)

// The exit codes of the program; ExitUsage includes faulty settings files, and ExitRefused is a refused credential.
const (
	ExitDone    = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitStale   = 3
	ExitUnknown = 4
	ExitRefused = 5
)

// Version is the version of the program.
const Version = "0.1.0"

// environment holds the standard streams of the commands.
type environment struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// exitError carries the exit code of a failed command.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the cause.
func (e *exitError) Error() string {
	return e.err.Error()
}

// logTimeFormat is RFC 3339 with milliseconds: lines of several nodes can be put in order.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Run executes the command in args and returns its exit code.
func Run(args []string, in io.Reader, out, errOut io.Writer) int {
	zerolog.TimeFieldFormat = logTimeFormat
	env := &environment{
		in:  in,
		out: out,
		err: errOut,
	}
	parser := flags.NewNamedParser("chivegauge", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Overload control for service call graphs: one node beside each backend server.\n" +
		"Exit codes: 0 done, 1 failed, 2 usage or settings, 3 the plan is stale, 4 outcome unknown, 5 credential refused."
	if err := addCommands(parser, env); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	_, err := parser.ParseArgs(args)
	return env.exit(err)
}

// addCommands adds all commands to the parser.
func addCommands(p *flags.Parser, env *environment) error {
	remote := func() remoteOptions {
		return remoteOptions{
			env: env,
		}
	}
	commands := []struct {
		name  string
		short string
		data  any
	}{
		{"node", "Run the node beside a backend server", &nodeCommand{env: env}},
		{"sidecar", "Run a node on the Greensward platform, with the settings file that CHIVEGAUGE_SETTINGS names", &sidecarCommand{env: env}},
		{"check", "Check a settings file and name each fault", &checkCommand{env: env}},
		{"plan", "Print the plan of the intents in a file", &planCommand{remoteOptions: remote()}},
		{"confirm", "Apply a plan if its base revision is still the current one", &confirmCommand{remoteOptions: remote()}},
		{"status", "Show the state and the active configuration version of each member", &statusCommand{remoteOptions: remote()}},
		{"audit", "Show the audit trail of changes", &auditCommand{remoteOptions: remote()}},
		{"explain", "Show from the log lines on standard input what happened to a request", &explainCommand{env: env}},
		{"replay", "Replay a trace of recorded decisions and check its outcomes", &replayCommand{env: env}},
		{"version", "Print the version", &versionCommand{env: env}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, c.short+".", c.data); err != nil {
			return errors.Wrapf(err, "command %s", c.name)
		}
	}
	key, err := p.AddCommand("key", "Make, list and withdraw the keys of workspaces", "Keys are shown once, when they are made; only their hashes are kept.", &struct{}{})
	if err != nil {
		return errors.Wrap(err, "command key")
	}
	return addKeyCommands(key, remote)
}

// exit prints the error of a command and returns its exit code.
func (e *environment) exit(err error) int {
	if err == nil {
		return ExitDone
	}
	usage := &flags.Error{}
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(e.out, usage.Message)
			return ExitDone
		}
		_, _ = fmt.Fprintln(e.err, usage.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(e.err, err)
	failure := &exitError{}
	if errors.As(err, &failure) {
		return failure.code
	}
	return ExitFailed
}

type versionCommand struct {
	env *environment
}

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintln(c.env.out, Version)
	return err
}
