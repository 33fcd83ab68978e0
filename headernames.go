package chivegauge

import (
	"net/textproto"
	"strings"
)

// HeaderNames are the names of the headers that callers and backend servers exchange with a node.
type HeaderNames struct {
	// Attempt carries the ID that the caller gave a request; the backend server repeats it in its response.
	Attempt string

	// BudgetMs carries the time left for a request, in milliseconds.
	BudgetMs string

	// Workspace carries the name of the workspace of a request.
	Workspace string

	// Expected carries the ID of the only backend server that may run a request.
	Expected string

	// NotRun marks the response of a backend server that did not run the request.
	NotRun string

	// RateLimit carries, in a response of a backend server, the requests per second that it takes from all callers together;
	// a response without it says that there is no limit.
	RateLimit string

	// Leaving marks, with the value 1, the responses of a backend server that is leaving.
	Leaving string

	// Receipt carries the proof of a backend server that it made the response.
	Receipt string

	// Caller carries the service of the instance that made a request.
	Caller string

	// KeyScheme is the scheme of the Authorization header that carries a key.
	KeyScheme string
}

// OwnHeaderNames returns the header names of chivegauge's own interface.
func OwnHeaderNames() HeaderNames {
	return HeaderNames{
		Attempt:   HeaderRequest,
		BudgetMs:  HeaderBudgetMs,
		Workspace: HeaderWorkspace,
		Expected:  HeaderPrefix + "Expected-Instance",
		NotRun:    HeaderPrefix + "Not-Run",
		RateLimit: HeaderPrefix + "Rate-Limit",
		Leaving:   HeaderPrefix + "Leaving",
		Caller:    HeaderPrefix + "Caller",
		KeyScheme: "Bearer",
	}
}

// DeleteInternal deletes the header fields with the system's own prefix, but for the attempt: only nodes may set them, and
// the header is of a message from a caller or a backend server.
func (n HeaderNames) DeleteInternal(h map[string][]string) {
	for name := range h {
		if InternalHeader(name) && name != n.Attempt {
			delete(h, name)
		}
	}
}

// DeleteListed deletes the header fields that Connection lists, which end at the node that receives them. The attempt and
// the receipt, which callers and backend servers rely on, are kept.
func (n HeaderNames) DeleteListed(h map[string][]string) {
	for _, v := range h["Connection"] {
		for option := range strings.SplitSeq(v, ",") {
			name := textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(option))
			if !HopByHopHeader(name) && name != n.Attempt && name != n.Receipt {
				delete(h, name)
			}
		}
	}
}

// EndToEnd returns the fields of a message from a caller or a backend server that are passed on as a list: neither the
// hop-by-hop ones, with those that Connection lists, nor the system's own. It changes the header.
func (n HeaderNames) EndToEnd(h map[string][]string) []HeaderField {
	n.DeleteListed(h)
	fields := make([]HeaderField, 0, len(h))
	for name, values := range h {
		if InternalHeader(name) || HopByHopHeader(name) {
			continue
		}
		for _, v := range values {
			fields = append(fields, HeaderField{
				Name:  name,
				Value: v,
			})
		}
	}
	return fields
}
