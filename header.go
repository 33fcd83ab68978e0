package chivegauge

import "strings"

// HeaderPrefix is the prefix of the system's own headers; the caller listener forwards no header with it.
const HeaderPrefix = "Chivegauge-"

// The headers that nodes exchange with each other, with backend servers and with callers.
const (
	HeaderKey         = HeaderPrefix + "Key"
	HeaderRequest     = HeaderPrefix + "Request"
	HeaderRoot        = HeaderPrefix + "Root"
	HeaderAttempt     = HeaderPrefix + "Attempt"
	HeaderRoute       = HeaderPrefix + "Route"
	HeaderWorkspace   = HeaderPrefix + "Workspace"
	HeaderKeyID       = HeaderPrefix + "Key-Id"
	HeaderImportance  = HeaderPrefix + "Importance"
	HeaderBudgetMs    = HeaderPrefix + "Budget-Ms"
	HeaderTokens      = HeaderPrefix + "Tokens"
	HeaderDepth       = HeaderPrefix + "Depth"
	HeaderLevels      = HeaderPrefix + "Levels"
	HeaderCode        = HeaderPrefix + "Code"
	HeaderRun         = HeaderPrefix + "Run"
	HeaderContext     = HeaderPrefix + "Context"
	HeaderElsewhere   = HeaderPrefix + "Elsewhere"
	HeaderRunning     = HeaderPrefix + "Running"
	HeaderForwards    = HeaderPrefix + "Forwards"
	HeaderRetryAfter  = "Retry-After"
	HeaderIdempotency = "Idempotency-Key"
)

// InternalHeader reports whether the name has the prefix of the system's own headers, ignoring case.
func InternalHeader(name string) bool {
	return len(name) >= len(HeaderPrefix) && strings.EqualFold(name[:len(HeaderPrefix)], HeaderPrefix)
}

var hopByHopHeaders = [...]string{
	"Connection",
	"Content-Length",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// HopByHopHeader reports whether the header is hop-by-hop: it applies to one connection and must not be forwarded.
func HopByHopHeader(name string) bool {
	for _, h := range hopByHopHeaders {
		if len(name) == len(h) && strings.EqualFold(name, h) {
			return true
		}
	}
	return false
}

// callerHeaders are the headers that only the node itself evaluates.
var callerHeaders = map[string]bool{
	"authorization": true,
	"host":          true,
}

// RequestHeader reports whether a header of a caller's request is forwarded to the backend server.
func RequestHeader(name string) bool {
	if InternalHeader(name) || HopByHopHeader(name) || strings.EqualFold(name, HeaderIdempotency) {
		return false
	}
	return !callerHeaders[strings.ToLower(name)]
}
