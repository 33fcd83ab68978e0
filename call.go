package chivegauge

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// HeaderField is one header field of a request or a response.
type HeaderField struct {
	Name  string
	Value string
}

// Call is a request with the attributes that the nodes add to it and pass on.
type Call struct {
	RequestID string

	// Root is the RootHash of the call tree.
	Root uint64

	AttemptID      string
	Route          string
	Service        string
	Workspace      string
	KeyID          string
	Importance     Importance
	Idempotent     bool
	IdempotencyKey string
	Deadline       time.Time

	// Tokens is the number of retry tokens lent to the call.
	Tokens int

	// Depth is the depth of the call in its call tree: 1 for a request of a caller, one more for each nested call.
	Depth int

	// Forwards is the number of times that the call was sent towards the owner of its idempotency key.
	Forwards int

	// Suspect says that a backend server crashed while it ran an earlier attempt of the call.
	Suspect bool

	// Trial says that the call is sent once although equal calls are refused, because backend servers crashed while they
	// ran them.
	Trial bool

	// ConfigVersion is the version of the configuration by which the call was admitted, and ConfigAge how long before that
	// it had last been verified as the newest; other nodes don't receive them.
	ConfigVersion uint64
	ConfigAge     time.Duration

	// Caller is the service of the instance that made the call.
	Caller string

	Method string
	Target string
	Header []HeaderField
	Body   []byte
}

// WithAttempt returns the call with another attempt ID and number of lent retry tokens.
func (c Call) WithAttempt(id string, tokens int) Call {
	c.AttemptID = id
	c.Tokens = tokens
	return c
}

// RootHash returns a hash that is the same for all calls of one call tree, and for all requests of a workspace with the
// same idempotency key.
func RootHash(requestID, workspace, idempotencyKey string) uint64 {
	if idempotencyKey != "" {
		return xxhash.Sum64String(workspace + "|" + idempotencyKey)
	}
	return xxhash.Sum64String(requestID)
}

// Fingerprint returns a hash of the workspace, route, method, target and body, which identifies equal requests.
func Fingerprint(workspace, route, method, target string, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(workspace + "|" + route + "|" + method + " " + target + "\n")
	_, _ = h.Write(body)
	return h.Sum64()
}

// WithForwards returns the call marked as sent n times towards the owner of its idempotency key.
func (c Call) WithForwards(n int) Call {
	c.Forwards = n
	return c
}

// WithSuspect returns the call marked as suspect, because a backend server crashed while it ran an earlier attempt.
func (c Call) WithSuspect() Call {
	c.Suspect = true
	return c
}

// WithTrial returns the call marked as on trial.
func (c Call) WithTrial() Call {
	c.Trial = true
	return c
}

// Budget returns the time left until the deadline, at least zero.
func (c Call) Budget(now time.Time) time.Duration {
	return max(0, c.Deadline.Sub(now))
}

// Response is a complete response of a backend server, or a refusal by a node.
type Response struct {
	AttemptID string
	Status    int
	Header    []HeaderField
	Body      []byte

	// RateLimit is the limit that the backend server announced with the response, or nil if it can't be parsed.
	RateLimit *RateLimit

	// Tokens is the number of retry tokens that the call did not spend and returns to its sender.
	Tokens int

	// Levels are the admission levels of the services that the call reached.
	Levels []ServiceLevel

	// Refusal is nil for a response of a backend server.
	Refusal *Refusal
}

// ServiceLevel is the admission level of a service, which responses carry back to the senders of requests.
type ServiceLevel struct {
	Service string
	Level   int
}

// RefusalResponse returns a response with the refusal, which returns the given number of retry tokens.
func RefusalResponse(attemptID string, r *Refusal, tokens int) Response {
	return Response{
		AttemptID: attemptID,
		Status:    r.Status(),
		Refusal:   r,
		Tokens:    tokens,
	}
}

// WithLevels returns the response with the given admission levels.
func (r Response) WithLevels(levels []ServiceLevel) Response {
	r.Levels = levels
	return r
}

// WithTokens returns the response with the given number of unspent retry tokens.
func (r Response) WithTokens(n int) Response {
	r.Tokens = n
	return r
}
