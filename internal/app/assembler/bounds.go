package assembler

import (
	"time"

	"github.com/chivegauge/chivegauge/internal/cluster/syncer"
	"github.com/chivegauge/chivegauge/internal/policy/budgeter"
)

const (
	// ancestorServices is the number of services above a service in a call tree; the retries of each of them repeat the
	// nested calls to the service.
	ancestorServices = 3

	// verificationMargin is the time that may pass while the verification age of a key is checked.
	verificationMargin = 250 * time.Millisecond
)

// Apply replaces the bounds.
func (n *node) Apply(b Bounds) {
	n.bounds.Store(&b)
	n.config.Configure(syncConfig(b))
	n.setRetryBudget(b)
}

// setRetryBudget sets the limits of the retry budget; half of the slack is reserved for the nested calls that retries
// repeat.
func (n *node) setRetryBudget(b Bounds) {
	n.forwarder.SetRetryBudget(retryRatios(b.RetryRatio), b.RetrySlack/2)
}

// verificationAgeMax returns the maximum time since the last verification of the configuration for which its keys are
// accepted.
func (n *node) verificationAgeMax() time.Duration {
	return n.bounds.Load().KeyLifetime - verificationMargin
}

func syncConfig(b Bounds) syncer.Config {
	return syncer.NewConfig(syncer.Bounds{
		ChangeTime:  b.ChangeTime,
		KeyLifetime: b.KeyLifetime,
	})
}

// retryRatios assigns half of the allowed ratio to the retries to a service, and half to the nested calls that are
// repeated by retries to the services above it.
func retryRatios(ratio float64) budgeter.Ratios {
	return budgeter.Ratios{
		All:        ratio / 2,
		MayHaveRun: ratio / 2 / ancestorServices,
	}
}

func scale(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}
