package experimenter

import "github.com/go-faster/errors"

const off = "{Limit: Off, Admission: false, Rates: Off, Retries: PerHop, Routing: RoundRobin}"

// policies are the policy settings by name: all mechanisms off, all on, only some on, or on with other algorithms.
var policies = map[string]string{
	"off":      off,
	"on":       "{Limit: Probe, Admission: true, Rates: Shares, Retries: Tokens, Routing: Observed}",
	"tokens":   "{Limit: Off, Admission: false, Rates: Off, Retries: Tokens, Routing: Observed}",
	"static":   "{Limit: Static, Admission: true, Rates: Shares, Retries: Tokens, Routing: Observed}",
	"gradient": "{Limit: Gradient, Admission: true, Rates: Shares, Retries: Tokens, Routing: Observed}",
	"limit":    "{Limit: Probe, Admission: false, Rates: Shares, Retries: Tokens, Routing: Observed}",
	"split":    "{Limit: Probe, Admission: true, Rates: Split, Retries: Tokens, Routing: Observed}",
}

// settingsOf returns the settings text of the policy, or an error.
func settingsOf(policy string) (string, error) {
	text, ok := policies[policy]
	if !ok {
		return "", errors.Errorf("policy %q is unknown", policy)
	}
	return "Policy: " + text + "\nLogLevel: warn", nil
}
