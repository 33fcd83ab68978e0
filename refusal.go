package chivegauge

import (
	"fmt"
	"net/http"
)

// Code is the machine-readable reason of a refusal.
type Code string

// The codes of a refusal.
const (
	CodeKeyMissing      Code = "KeyMissing"
	CodeKeyUnknown      Code = "KeyUnknown"
	CodeRouteUnknown    Code = "RouteUnknown"
	CodeTooLarge        Code = "TooLarge"
	CodeBadRequest      Code = "BadRequest"
	CodeRateExceeded    Code = "RateExceeded"
	CodeOverloaded      Code = "Overloaded"
	CodeBusy            Code = "Busy"
	CodeDeadline        Code = "DeadlineExceeded"
	CodeCancelled       Code = "Cancelled"
	CodeNoBackend       Code = "NoBackendServer"
	CodeDraining        Code = "Draining"
	CodeContextUnknown  Code = "ContextUnknown"
	CodeQuarantined     Code = "Quarantined"
	CodeSuspect         Code = "Suspect"
	CodeUnreachable     Code = "Unreachable"
	CodeNotReady        Code = "NotReady"
	CodeOutcomeUnknown  Code = "OutcomeUnknown"
	CodeBackendCrashed  Code = "BackendServerDied"
	CodeAttemptConflict Code = "AttemptConflict"
	CodeKeyReused       Code = "IdempotencyKeyReused"
)

// Run states whether a backend server ran the request.
type Run string

// The values of Run.
const (
	NotRun     Run = "NotRun"
	MayHaveRun Run = "MayHaveRun"
	DidRun     Run = "Run"
)

// Refusal is the typed error that callers get in place of a backend server's response.
type Refusal struct {
	Code         Code
	Run          Run
	Message      string
	RetryAfterMs int `json:",omitempty"`

	// ReachedBackend states that the request reached a backend server, which did not run it.
	ReachedBackend bool `json:"-"`

	// RedirectAddress is the address of another node that would run the request, or empty if there is none.
	RedirectAddress string `json:"-"`
}

// Error returns the code, whether the request ran, and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Run, r.Message)
}

// Refuse returns a refusal of a request that did not run.
func Refuse(code Code, message string) *Refusal {
	return &Refusal{
		Code:    code,
		Run:     NotRun,
		Message: message,
	}
}

// WithRetryAfter returns the refusal with the time in milliseconds after which the caller may retry.
func (r Refusal) WithRetryAfter(ms int) *Refusal {
	r.RetryAfterMs = ms
	return &r
}

// WithReachedBackend returns the refusal of a request that reached a backend server, which did not run it.
func (r Refusal) WithReachedBackend() *Refusal {
	r.ReachedBackend = true
	return &r
}

// WithRedirect returns the refusal with the address of another node that would run the request.
func (r Refusal) WithRedirect(address string) *Refusal {
	r.RedirectAddress = address
	return &r
}

// RefuseMayHaveRun returns a refusal of a request that may have run.
func RefuseMayHaveRun(code Code, message string) *Refusal {
	return &Refusal{
		Code:    code,
		Run:     MayHaveRun,
		Message: message,
	}
}

var codeStatuses = map[Code]int{
	CodeKeyMissing:      http.StatusUnauthorized,
	CodeKeyUnknown:      http.StatusUnauthorized,
	CodeRouteUnknown:    http.StatusNotFound,
	CodeTooLarge:        http.StatusRequestEntityTooLarge,
	CodeBadRequest:      http.StatusBadRequest,
	CodeRateExceeded:    http.StatusTooManyRequests,
	CodeDeadline:        http.StatusGatewayTimeout,
	CodeUnreachable:     http.StatusBadGateway,
	CodeOutcomeUnknown:  http.StatusBadGateway,
	CodeBackendCrashed:  http.StatusBadGateway,
	CodeCancelled:       http.StatusServiceUnavailable,
	CodeContextUnknown:  http.StatusForbidden,
	CodeQuarantined:     http.StatusUnprocessableEntity,
	CodeAttemptConflict: http.StatusConflict,
	CodeKeyReused:       http.StatusConflict,
}

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int {
	if s, ok := codeStatuses[r.Code]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}
