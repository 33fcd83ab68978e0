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

	// watchFraction and watchSlackFraction are the wait of one call to the source and its timeout beyond that, as
	// fractions of the key lifetime: two calls in a row can fail before the last verification is too old.
	watchFraction      = 0.2
	watchSlackFraction = 0.14

	// pollFraction is the wait of a poll of another node, and pollAgeFraction the maximum verification age of the snapshot
	// it returns, as fractions of the key lifetime; pollTimeout is the timeout of a poll beyond its wait.
	pollFraction    = 0.14
	pollAgeFraction = 0.5
	pollTimeout     = 300 * time.Millisecond
)

// Apply replaces the bounds.
func (n *node) Apply(b Bounds) {
	n.bounds.Store(&b)
	n.config.Configure(syncerConfig(b.KeyLifetime))
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

// syncerConfig returns the timeouts with which the configuration is verified often enough for the key lifetime.
func syncerConfig(lifetime time.Duration) syncer.Config {
	return syncer.Config{
		Wait:        scale(lifetime, watchFraction),
		Timeout:     scale(lifetime, watchSlackFraction),
		RetryFirst:  storeRetryFirst,
		RetryMax:    storeRetryMax,
		PeerWait:    scale(lifetime, pollFraction),
		PeerTimeout: pollTimeout,
		PeerAgeMax:  scale(lifetime, pollAgeFraction),
	}
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
