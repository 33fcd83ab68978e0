package chivegauge

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// HeaderField is one header of a request or an answer.
type HeaderField struct {
	Name  string
	Value string
}

// Call is a request on its way through the nodes.
type Call struct {
	RequestID      string
	Root           uint64
	AttemptID      string
	Route          string
	Service        string
	Workspace      string
	KeyID          string
	Importance     Importance
	Idempotent     bool
	IdempotencyKey string
	Deadline       time.Time
	Tokens         int
	Depth          int
	Forwards       int

	// Suspect says that a backend server died while it ran an earlier attempt of the call.
	Suspect bool

	// Caller is the service of the instance where the call began.
	Caller string

	Method string
	Target string
	Header []HeaderField
	Body   []byte
}

// WithAttempt returns the call under an attempt ID and with the tokens lent to it.
func (c Call) WithAttempt(id string, tokens int) Call {
	c.AttemptID = id
	c.Tokens = tokens
	return c
}

// RootHash returns a hash that stays the same at each hop of one call tree, and
// for a request that its caller sends again under one idempotency key.
func RootHash(requestID, workspace, idempotencyKey string) uint64 {
	if idempotencyKey != "" {
		return xxhash.Sum64String(workspace + "|" + idempotencyKey)
	}
	return xxhash.Sum64String(requestID)
}

// Fingerprint returns a hash that requests share which ask the same for the same workspace.
func Fingerprint(workspace, route, method, target string, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(workspace + "|" + route + "|" + method + " " + target + "\n")
	_, _ = h.Write(body)
	return h.Sum64()
}

// WithForwards returns the call as one sent n times towards the owner of its idempotency key.
func (c Call) WithForwards(n int) Call {
	c.Forwards = n
	return c
}

// WithSuspect returns the call as one whose earlier attempt ended with its backend server.
func (c Call) WithSuspect() Call {
	c.Suspect = true
	return c
}

// Budget returns the time left at now, never below zero.
func (c Call) Budget(now time.Time) time.Duration {
	return max(0, c.Deadline.Sub(now))
}

// Answer is a whole answer of a backend server, or a refusal made by a node.
type Answer struct {
	AttemptID string
	Status    int
	Header    []HeaderField
	Body      []byte
	Tokens    int
	Levels    []ServiceLevel
	Refusal   *Refusal
}

// ServiceLevel is the admission level of a service as an answer carries it upstream.
type ServiceLevel struct {
	Service string
	Level   int
}

// RefusalAnswer returns the answer that carries a refusal and gives back the tokens.
func RefusalAnswer(attemptID string, r *Refusal, tokens int) Answer {
	return Answer{
		AttemptID: attemptID,
		Status:    r.Status(),
		Refusal:   r,
		Tokens:    tokens,
	}
}

// WithLevels returns the answer with other admission levels.
func (a Answer) WithLevels(levels []ServiceLevel) Answer {
	a.Levels = levels
	return a
}

// WithTokens returns the answer with another number of unspent retry tokens.
func (a Answer) WithTokens(n int) Answer {
	a.Tokens = n
	return a
}
