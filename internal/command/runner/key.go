package runner

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/configurer"
	"github.com/chivegauge/chivegauge/internal/cluster/planner"
	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// The sizes of the random parts of a key.
const (
	keyIDBytes     = 6
	keySecretBytes = 24
)

func addKeyCommands(key *flags.Command, remote func() remoteOptions) error {
	commands := []struct {
		name  string
		short string
		data  any
	}{
		{"make", "Make a key, print it once, and plan or confirm adding it to a workspace", &keyMakeCommand{remoteOptions: remote()}},
		{"list", "List the IDs of the keys", &keyListCommand{remoteOptions: remote()}},
		{"withdraw", "Plan or confirm the withdrawal of a key", &keyWithdrawCommand{remoteOptions: remote()}},
	}
	for _, c := range commands {
		if _, err := key.AddCommand(c.name, c.short, c.short+".", c.data); err != nil {
			return errors.Wrapf(err, "command key %s", c.name)
		}
	}
	return nil
}

// changeOptions are the options of commands that plan one change and confirm it on demand.
type changeOptions struct {
	Confirm  bool   `long:"confirm" description:"confirm the plan at once"`
	Save     string `long:"save" description:"file to save the plan in, for confirm"`
	Operator string `long:"operator" description:"name for the audit trail" env:"USER"`
}

// planChange plans the intent, prints and saves the plan, and confirms it if the options say so.
func (o *remoteOptions) planChange(c changeOptions, i planner.Intent) error {
	p, err := o.plan([]planner.Intent{i})
	if err != nil {
		return err
	}
	if err := o.show(p, c.Save); err != nil {
		return err
	}
	if !c.Confirm {
		return nil
	}
	return o.confirm(p, c.Operator)
}

type keyMakeCommand struct {
	remoteOptions
	changeOptions
	Workspace string `long:"workspace" required:"true" description:"workspace that the key is for"`
}

// Execute makes a key, prints it once and plans to add it to the workspace; the key itself isn't sent to the node, only
// its ID and its hash.
func (c *keyMakeCommand) Execute([]string) error {
	key, err := newKey()
	if err != nil {
		return err
	}
	id, hash := configurer.SplitKey(key)
	if _, err := fmt.Fprintln(c.env.out, "Key "+key); err != nil {
		return err
	}
	return c.planChange(c.changeOptions, planner.Intent{
		GiveKey: &planner.KeyIntent{
			Workspace: c.Workspace,
			ID:        id,
			Hash:      hex.EncodeToString(hash),
		},
	})
}

// newKey returns a random key.
func newKey() (string, error) {
	b := make([]byte, keyIDBytes+keySecretBytes)
	if _, err := rand.Read(b); err != nil {
		return "", errors.Wrap(err, "make key")
	}
	return fmt.Sprintf("%s_%x_%x", configurer.KeyPrefix, b[:keyIDBytes], b[keyIDBytes:]), nil
}

type keyListCommand struct {
	remoteOptions
}

// Execute lists the IDs of the keys by workspace.
func (c *keyListCommand) Execute([]string) error {
	cfg := chivegauge.Configuration{}
	if err := c.call(http.MethodGet, "/configuration", nil, &cfg); err != nil {
		return err
	}
	type keyRow struct {
		Workspace string
		ID        string
	}
	var list []keyRow
	for _, w := range cfg.Workspaces {
		for _, k := range w.Keys {
			list = append(list, keyRow{
				Workspace: w.Name,
				ID:        k.ID,
			})
		}
	}
	return c.print(list, func(w io.Writer) {
		row(w, "WORKSPACE", "KEY")
		for _, k := range list {
			row(w, k.Workspace, k.ID)
		}
	})
}

type keyWithdrawCommand struct {
	remoteOptions
	changeOptions
	Workspace string `long:"workspace" required:"true" description:"workspace that the key is of"`
	ID        string `long:"id" required:"true" description:"ID of the key"`
}

// Execute plans the withdrawal of the key.
func (c *keyWithdrawCommand) Execute([]string) error {
	return c.planChange(c.changeOptions, planner.Intent{
		WithdrawKey: &planner.KeyIntent{
			Workspace: c.Workspace,
			ID:        c.ID,
		},
	})
}
