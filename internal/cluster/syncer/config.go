package syncer

import "time"

// Bounds are the promises that a configuration has to keep.
type Bounds struct {
	// ChangeTime is the maximum time from a change at the source to its use by each node that reaches the source.
	ChangeTime time.Duration

	// KeyLifetime is the maximum time for which any node accepts a withdrawn key.
	KeyLifetime time.Duration
}

// The waits are fractions of the smaller one of the change time and keyLifetimeFraction of the key lifetime.
const (
	keyLifetimeFraction = 0.5

	// ageFraction and readFraction add up to 1: a node whose verification has reached its maximum age reads the source, and
	// has each change in time even if that takes the whole timeout.
	ageFraction  = 0.65
	readFraction = 0.35

	// In normal operation a verification is two waits of a watch old at most, from when one watch is sent until the next
	// one ends; that is below ageFraction by more than a poll takes, so that only readers call the source.
	watchFraction      = 0.2
	watchSlackFraction = 0.15
	pollFraction       = 0.25
	pollSlackFraction  = 0.15
	pollGainFraction   = 0.05

	retryFraction = 0.3
)

// retryFirst is the backoff after the first failed call to the source.
const retryFirst = 100 * time.Millisecond

// Config holds the timeouts and backoffs of the calls to the source and to other nodes.
type Config struct {
	// AgeMax is the age of the last verification at which a node reads the source by itself.
	AgeMax time.Duration

	// PeerWait is how long another node waits for a change or a newer verification before it responds to a poll.
	PeerWait time.Duration

	// PeerTimeout is the timeout of a poll, in addition to its wait.
	PeerTimeout time.Duration

	// PeerGain is by how much a verification must be newer than that of the polling node to be sent before the wait is
	// over. It is above the jitter of messages, so that no verification is taken for a newer one.
	PeerGain time.Duration

	// Wait is how long one watch of the source waits for a change.
	Wait time.Duration

	// WaitTimeout is the timeout of a watch, in addition to its wait.
	WaitTimeout time.Duration

	// ReadTimeout is the timeout of a read of the source.
	ReadTimeout time.Duration

	// RetryFirst is the backoff after the first failed read in a row; it doubles with each further one.
	RetryFirst time.Duration

	// RetryMax is the longest backoff after a failed read.
	RetryMax time.Duration
}

// NewConfig returns the timeouts and backoffs with which the bounds hold.
func NewConfig(b Bounds) Config {
	limit := min(float64(b.ChangeTime), keyLifetimeFraction*float64(b.KeyLifetime))
	fraction := func(f float64) time.Duration { return time.Duration(f * limit) }
	return Config{
		AgeMax:      fraction(ageFraction),
		PeerWait:    fraction(pollFraction),
		PeerTimeout: fraction(pollSlackFraction),
		PeerGain:    fraction(pollGainFraction),
		Wait:        fraction(watchFraction),
		WaitTimeout: fraction(watchSlackFraction),
		ReadTimeout: fraction(readFraction),
		RetryFirst:  retryFirst,
		RetryMax:    fraction(retryFraction),
	}
}
