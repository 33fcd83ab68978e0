package assembler

import (
	"time"

	"github.com/chivegauge/chivegauge/internal/cluster/syncer"
	"github.com/chivegauge/chivegauge/internal/policy/budgeter"
)

const (
	// callsAbove is the number of services above another in a call tree whose retries repeat the calls to it.
	callsAbove = 3

	// proofMargin is what the check of a key's freshness may take.
	proofMargin = 250 * time.Millisecond

	// watchPart and watchSlack are the parts of the lifetime of a key for which one call waits and may be late, so that
	// two calls in a row can fail before the proof is too old.
	watchPart  = 0.2
	watchSlack = 0.14

	// askPart is the part of the lifetime of a key for which another node may wait with its proof, askAgePart the oldest
	// proof that is taken from it, askTimeout how late it may be.
	askPart    = 0.14
	askAgePart = 0.5
	askTimeout = 300 * time.Millisecond
)

// Apply takes other bounds into force.
func (n *node) Apply(b Bounds) {
	n.bounds.Store(&b)
	n.config.Configure(proofTimes(b.KeyLifetime))
	n.tune(b)
}

// tune sets the bounds of the retry budget; half of the slack is for the calls that retries repeat.
func (n *node) tune(b Bounds) {
	n.forward.SetRetryBudget(retryShare(b.RetryRatio), b.RetrySlack/2)
}

// proofMax returns the age of the proof up to which keys are taken as valid.
func (n *node) proofMax() time.Duration {
	return n.bounds.Load().KeyLifetime - proofMargin
}

// proofTimes returns how the proof of the keys is kept young enough for their lifetime.
func proofTimes(lifetime time.Duration) syncer.Config {
	return syncer.Config{
		Wait:        part(lifetime, watchPart),
		Timeout:     part(lifetime, watchSlack),
		RetryFirst:  storeRetry,
		RetryMax:    storeRetryMax,
		PeerWait:    part(lifetime, askPart),
		PeerTimeout: askTimeout,
		PeerAgeMax:  part(lifetime, askAgePart),
	}
}

// retryShare gives half of the allowed ratio to the retries towards a service, and half to the calls that are repeated
// by retries towards the services above it.
func retryShare(ratio float64) budgeter.Ratios {
	return budgeter.Ratios{
		All:        ratio / 2,
		MayHaveRun: ratio / 2 / callsAbove,
	}
}

func part(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}
