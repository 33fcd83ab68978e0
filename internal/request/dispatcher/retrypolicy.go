package dispatcher

import "github.com/chivegauge/chivegauge"

// RetryPolicy decides whether a failed attempt may be retried.
type RetryPolicy interface {
	// ShouldRetry reports whether the call may be retried after attempt n, counted from 0, ended with the response.
	ShouldRetry(n int, c chivegauge.Call, response chivegauge.Response) bool
	// ChargesBudget reports whether retries are charged to the retry tokens of the call and to the retry budget of the
	// destination.
	ChargesBudget() bool
}

// retryable are the refusal codes after which an attempt on another backend server may succeed.
var retryable = map[chivegauge.Code]bool{
	chivegauge.CodeUnreachable:    true,
	chivegauge.CodeNoBackend:      true,
	chivegauge.CodeDraining:       true,
	chivegauge.CodeNotReady:       true,
	chivegauge.CodeBusy:           true,
	chivegauge.CodeSuspect:        true,
	chivegauge.CodeOutcomeUnknown: true,
	chivegauge.CodeBackendCrashed: true,
}

// TokenRetryPolicy allows the retries that the retry tokens of the whole call tree cover.
type TokenRetryPolicy struct{}

// ShouldRetry allows a retry after a retryable refusal if the attempt did not run or the call is idempotent.
func (TokenRetryPolicy) ShouldRetry(_ int, c chivegauge.Call, response chivegauge.Response) bool {
	if response.Refusal == nil || !retryable[response.Refusal.Code] {
		return false
	}
	return response.Refusal.Run == chivegauge.NotRun || c.Idempotent
}

// ChargesBudget returns true.
func (TokenRetryPolicy) ChargesBudget() bool {
	return true
}

// PerHopRetryPolicy allows a fixed number of attempts at each hop, independent of the attempts in the rest of the call
// tree.
type PerHopRetryPolicy struct {
	Attempts int
}

// ShouldRetry allows a retry while the hop has attempts left, if the attempt did not run or the call is idempotent.
func (r PerHopRetryPolicy) ShouldRetry(n int, c chivegauge.Call, response chivegauge.Response) bool {
	if response.Refusal == nil || n+1 >= r.Attempts {
		return false
	}
	return response.Refusal.Run == chivegauge.NotRun || c.Idempotent
}

// ChargesBudget returns false.
func (r PerHopRetryPolicy) ChargesBudget() bool {
	return false
}
