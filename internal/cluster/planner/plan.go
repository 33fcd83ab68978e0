package planner

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/cluster/collector"
	"github.com/go-faster/errors"
)

// Plan describes the changes of a list of intents, to be confirmed by the operator.
type Plan struct {
	BaseRevision uint64
	// BaseDigest tells the base from another configuration of its revision, which there may be once the store has come back
	// from an older copy; it is empty in plans of earlier programs.
	BaseDigest string `json:",omitempty"`
	ChangeID   string
	Intents    []Intent
	Changes    []string
	Effects    []string
	Warnings   []string
}

// FleetStatus is the state and load of the members, from which the effects of a plan are estimated.
type FleetStatus struct {
	Members []collector.MemberStatus
}

// StaleError is returned when the configuration changed since the plan was made; Since lists the changes.
type StaleError struct {
	Base    uint64
	Present uint64
	Since   []chivegauge.AuditEntry
}

// Error names the changes since the plan's base revision.
func (e *StaleError) Error() string {
	if e.Present == e.Base {
		return fmt.Sprintf("revision %d is not the one that the plan was made on: the store has come back from an older copy since", e.Present)
	}
	s := fmt.Sprintf("the configuration is at revision %d, the plan was made on %d; since then:", e.Present, e.Base)
	for _, a := range e.Since {
		s += fmt.Sprintf(" [%d by %s: %s]", a.Revision, a.Operator, a.Summary)
	}
	return s
}

// NewPlan returns the plan that applies the intents to the configuration, or an error that names the intent that can't
// be applied.
func NewPlan(c chivegauge.Configuration, intents []Intent, m FleetStatus, changeID string) (Plan, error) {
	next, changes, err := applyAll(c, intents)
	if err != nil {
		return Plan{}, err
	}
	base, err := digest(c)
	if err != nil {
		return Plan{}, err
	}
	effects, warnings := describeEffects(c, next, intents, m)
	return Plan{
		BaseRevision: c.Revision,
		BaseDigest:   base,
		ChangeID:     changeID,
		Intents:      intents,
		Changes:      changes,
		Effects:      effects,
		Warnings:     warnings,
	}, nil
}

// digest returns a digest of the configuration.
func digest(c chivegauge.Configuration) (string, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return "", errors.Wrap(err, "encode configuration")
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:]), nil
}

func applyAll(c chivegauge.Configuration, intents []Intent) (chivegauge.Configuration, []string, error) {
	changes := make([]string, 0, len(intents))
	for n, i := range intents {
		next, line, err := i.apply(c)
		if err != nil {
			return c, nil, errors.Wrapf(err, "intent %d", n+1)
		}
		c = next
		changes = append(changes, line)
	}
	if err := c.Validate(); err != nil {
		return c, nil, err
	}
	return c, changes, nil
}

// Apply returns the configuration with the plan applied and an audit entry added, or a StaleError.
func Apply(now time.Time, c chivegauge.Configuration, p Plan, operator string) (chivegauge.Configuration, error) {
	base, err := digest(c)
	if err != nil {
		return c, err
	}
	if c.Revision != p.BaseRevision || p.BaseDigest != "" && p.BaseDigest != base {
		return c, newStaleError(c, p)
	}
	next, changes, err := applyAll(c, p.Intents)
	if err != nil {
		return c, err
	}
	next.Revision = c.Revision + 1
	next.ChangeID = p.ChangeID
	audit := make([]chivegauge.AuditEntry, 0, len(c.Audit)+1)
	audit = append(audit, c.Audit[max(0, len(c.Audit)+1-chivegauge.AuditLimit):]...)
	audit = append(audit, chivegauge.AuditEntry{
		Revision: next.Revision,
		ChangeID: p.ChangeID,
		At:       now,
		Operator: operator,
		Summary:  join(changes),
	})
	next.Audit = audit
	return next, nil
}

// Applied returns the revision at which the plan was applied to the configuration, or false if it was not.
func Applied(c chivegauge.Configuration, p Plan) (uint64, bool) {
	for _, a := range c.Audit {
		if a.ChangeID == p.ChangeID {
			return a.Revision, true
		}
	}
	return 0, false
}

// newStaleError returns the error that names the changes since the plan was made.
func newStaleError(c chivegauge.Configuration, p Plan) *StaleError {
	return &StaleError{
		Base:    p.BaseRevision,
		Present: c.Revision,
		Since:   entriesAfter(c.Audit, p.BaseRevision),
	}
}

func entriesAfter(audit []chivegauge.AuditEntry, base uint64) []chivegauge.AuditEntry {
	var list []chivegauge.AuditEntry
	for _, a := range audit {
		if a.Revision > base {
			list = append(list, a)
		}
	}
	return list
}

func join(lines []string) string {
	s := ""
	for n, line := range lines {
		if n > 0 {
			s += "; "
		}
		s += line
	}
	return s
}
