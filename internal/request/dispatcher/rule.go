package dispatcher

import "github.com/chivegauge/chivegauge"

// Rule decides whether an attempt may be followed by another.
type Rule interface {
	// Again reports whether attempt n of the call, which ended with the answer, may be followed by another.
	Again(n int, c chivegauge.Call, a chivegauge.Answer) bool
	// Paid reports whether a further attempt costs a retry token and a part of the destination's budget.
	Paid() bool
}

// movable are the refusals after which another backend server may do better.
var movable = map[chivegauge.Code]bool{
	chivegauge.CodeUnreachable:    true,
	chivegauge.CodeNoBackend:      true,
	chivegauge.CodeDraining:       true,
	chivegauge.CodeNotReady:       true,
	chivegauge.CodeBusy:           true,
	chivegauge.CodeSuspect:        true,
	chivegauge.CodeOutcomeUnknown: true,
	chivegauge.CodeBackendDied:    true,
}

// TokenRule allows attempts that the retry tokens of the whole call tree pay for.
type TokenRule struct{}

// Again allows another attempt when the last did not run, or when the call is idempotent.
func (TokenRule) Again(_ int, c chivegauge.Call, a chivegauge.Answer) bool {
	if a.Refusal == nil || !movable[a.Refusal.Code] {
		return false
	}
	return a.Refusal.Run == chivegauge.NotRun || c.Idempotent
}

// Paid returns true.
func (TokenRule) Paid() bool {
	return true
}

// HopRule allows a fixed number of attempts at each hop, whatever the rest of the tree does.
type HopRule struct {
	Attempts int
}

// Again allows another attempt while the hop has some left.
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
