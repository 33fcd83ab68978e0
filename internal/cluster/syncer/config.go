package syncer

import "time"

const (
	// watchFraction and watchSlackFraction are the wait of one call to the source and its timeout beyond that, as
	// fractions of the key lifetime: two calls in a row can fail before the last verification is too old.
	watchFraction      = 0.2
	watchSlackFraction = 0.14

	// pollFraction is the wait of a poll of another node, and pollAgeFraction the maximum verification age of the snapshot
	// it returns, as fractions of the key lifetime; pollTimeout is the timeout of a poll beyond its wait.
	pollFraction    = 0.14
	pollAgeFraction = 0.5
	pollTimeout     = 300 * time.Millisecond

	// retryFirst and retryMax bound the backoff after failed calls to the source.
	retryFirst = 100 * time.Millisecond
	retryMax   = 800 * time.Millisecond
)

// Config holds the timeouts and backoffs of the calls to the source and to other nodes.
type Config struct {
	// PeerWait is how long another node waits for a change before it responds to a poll.
	PeerWait time.Duration

	// PeerTimeout is the timeout of a poll, in addition to its wait.
	PeerTimeout time.Duration

	// PeerAgeMax is the maximum time since its last verification for which the snapshot of another node is used.
	PeerAgeMax time.Duration

	// Wait is how long one call to the source waits for a change.
	Wait time.Duration

	// Timeout is the timeout of a call to the source, in addition to its wait.
	Timeout time.Duration

	// RetryFirst is the backoff after the first failed call in a row; it doubles with each further one.
	RetryFirst time.Duration

	// RetryMax is the longest backoff after a failed call.
	RetryMax time.Duration
}

// NewConfig returns the timeouts with which the configuration is verified often enough for the key lifetime.
func NewConfig(keyLifetime time.Duration) Config {
	return Config{
		Wait:        time.Duration(watchFraction * float64(keyLifetime)),
		Timeout:     time.Duration(watchSlackFraction * float64(keyLifetime)),
		RetryFirst:  retryFirst,
		RetryMax:    retryMax,
		PeerWait:    time.Duration(pollFraction * float64(keyLifetime)),
		PeerTimeout: pollTimeout,
		PeerAgeMax:  time.Duration(pollAgeFraction * float64(keyLifetime)),
	}
}
