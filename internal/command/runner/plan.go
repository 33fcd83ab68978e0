package runner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/collector"
	"github.com/chivegauge/chivegauge/internal/cluster/planner"
	"github.com/chivegauge/chivegauge/internal/listener/operator"
	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
)

const planFileMode = 0o600

// intentFile is the content of a file of intents.
type intentFile struct {
	Intents []planner.Intent
}

type planCommand struct {
	remoteOptions
	Intents string `long:"intents" short:"i" required:"true" description:"file of intents (YAML)"`
	Save    string `long:"save" description:"file to save the plan in, for confirm"`
}

// Execute prints the plan of the intents and saves it if a file is named.
func (c *planCommand) Execute([]string) error {
	f, err := readIntents(c.Intents)
	if err != nil {
		return &exitError{
			code: ExitUsage,
			err:  err,
		}
	}
	p, err := c.plan(f.Intents)
	if err != nil {
		return err
	}
	return c.show(p, c.Save)
}

// readIntents returns the intents in a YAML file, or an error, also if the file has an unknown field.
func readIntents(path string) (intentFile, error) {
	f := intentFile{}
	b, err := os.ReadFile(path)
	if err != nil {
		return f, errors.Wrap(err, "read intents")
	}
	js, err := yaml.YAMLToJSON(b)
	if err != nil {
		return f, errors.Wrap(err, "parse intents")
	}
	d := json.NewDecoder(bytes.NewReader(js))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return f, errors.Wrap(err, "parse intents")
	}
	return f, nil
}

// plan returns the plan that the node makes of the intents.
func (o *remoteOptions) plan(intents []planner.Intent) (planner.Plan, error) {
	p := planner.Plan{}
	req := operator.PlanRequest{
		Intents: intents,
	}
	return p, o.call(http.MethodPost, "/plan", req, &p)
}

// show prints a plan and saves it if a file is named.
func (o *remoteOptions) show(p planner.Plan, save string) error {
	if save != "" {
		b, err := json.MarshalIndent(p, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode plan")
		}
		if err := os.WriteFile(save, b, planFileMode); err != nil {
			return errors.Wrap(err, "save plan")
		}
	}
	return o.print(p, func(w io.Writer) {
		row(w, "Base revision", p.BaseRevision)
		labelledRows(w, "Change", p.Changes)
		labelledRows(w, "Effect", p.Effects)
		labelledRows(w, "Warning", p.Warnings)
	})
}

// labelledRows writes a row with the label for each item of the list.
func labelledRows(w io.Writer, label string, list []string) {
	for _, item := range list {
		row(w, label, item)
	}
}

type confirmCommand struct {
	remoteOptions
	Operator string `long:"operator" required:"true" description:"name for the audit trail" env:"USER"`
	Args     struct {
		Plan string `positional-arg-name:"PLAN" description:"file with the plan"`
	} `positional-args:"true" required:"true"`
}

// Execute applies the plan in the file; it may be repeated after an unknown outcome.
func (c *confirmCommand) Execute([]string) error {
	b, err := os.ReadFile(c.Args.Plan)
	if err != nil {
		return errors.Wrap(err, "read plan")
	}
	p := planner.Plan{}
	if err := json.Unmarshal(b, &p); err != nil {
		return &exitError{
			code: ExitUsage,
			err:  errors.Wrap(err, "parse plan"),
		}
	}
	return c.confirm(p, c.Operator)
}

// confirm has the node apply the plan and prints the new revision; the name goes into the audit trail.
func (o *remoteOptions) confirm(p planner.Plan, name string) error {
	res := operator.ConfirmResponse{}
	req := operator.ConfirmRequest{
		Plan:     p,
		Operator: name,
	}
	if err := o.call(http.MethodPost, "/confirm", req, &res); err != nil {
		return err
	}
	return o.print(res, func(w io.Writer) {
		row(w, "In force at revision", res.Revision)
	})
}

type statusCommand struct {
	remoteOptions
}

// Execute prints the status of the nodes, among others the active configuration version of each.
func (c *statusCommand) Execute([]string) error {
	s := collector.Status{}
	if err := c.call(http.MethodGet, "/status", nil, &s); err != nil {
		return err
	}
	return c.print(s, func(w io.Writer) {
		row(w, "Revision", s.Revision)
		row(w, "Version", fmt.Sprintf("%d (lowest in force %d)", s.Version, s.LowestVersion))
		row(w, "Lagging", len(s.Lagging))
		row(w, "Not reached", len(s.Unreached))
		row(w, "Invariant violations", s.Violations)
		row(w)
		row(w, "NODE", "SERVICE", "ZONE", "STATE", "RUNNING", "LIMIT", "VERSION", "VIOLATIONS")
		for _, m := range s.Members {
			row(w, m.Address, m.Service, m.Zone, m.State, m.Running, m.Limit, m.Version, m.Violations)
		}
	})
}

type auditCommand struct {
	remoteOptions
}

// Execute prints the audit trail, oldest entry first.
func (c *auditCommand) Execute([]string) error {
	var list []chivegauge.AuditEntry
	if err := c.call(http.MethodGet, "/audit", nil, &list); err != nil {
		return err
	}
	return c.print(list, func(w io.Writer) {
		row(w, "REVISION", "AT", "OPERATOR", "CHANGE")
		for _, a := range list {
			row(w, a.Revision, a.At.UTC().Format(time.RFC3339), a.Operator, a.Summary)
		}
	})
}
