package dispatcher

import "github.com/chivegauge/chivegauge"

// Rule decides whether a failed attempt may be retried.
type Rule interface {
	// Again reports whether the call may be retried after attempt n, counted from 0, ended with the response a.
	Again(n int, c chivegauge.Call, a chivegauge.Answer) bool
	// Paid reports whether retries are charged to the retry tokens of the call and to the retry budget of the destination.
	Paid() bool
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
	chivegauge.CodeBackendDied:    true,
}

// TokenRule allows the retries that the retry tokens of the whole call tree cover.
type TokenRule struct{}

// Again allows a retry after a retryable refusal if the attempt did not run or the call is idempotent.
func (TokenRule) Again(_ int, c chivegauge.Call, a chivegauge.Answer) bool {
	if a.Refusal == nil || !retryable[a.Refusal.Code] {
		return false
	}
	return a.Refusal.Run == chivegauge.NotRun || c.Idempotent
}

// Paid returns true.
func (TokenRule) Paid() bool {
	return true
}

// HopRule allows a fixed number of attempts at each hop, independent of the attempts in the rest of the call tree.
type HopRule struct {
	Attempts int
}

// Again allows a retry while the hop has attempts left, if the attempt did not run or the call is idempotent.
func (r HopRule) Again(n int, c chivegauge.Call, a chivegauge.Answer) bool {
	if a.Refusal == nil || n+1 >= r.Attempts {
		return false
	}
	return a.Refusal.Run == chivegauge.NotRun || c.Idempotent
}

// Paid returns false.
func (r HopRule) Paid() bool {
	return false
}
