package chivegauge

import "strings"

// HeaderPrefix begins each header of the system; none of them passes the caller listener inwards.
const HeaderPrefix = "Chivegauge-"

// The headers between nodes, towards backend servers and towards callers.
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

// InternalHeader reports whether the name is one of the system's own.
func InternalHeader(name string) bool {
	return len(name) >= len(HeaderPrefix) && strings.EqualFold(name[:len(HeaderPrefix)], HeaderPrefix)
}

var connectionHeaders = map[string]bool{
	"connection":          true,
	"content-length":      true,
	"keep-alive":          true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"proxy-connection":    true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
}

// ConnectionHeader reports whether the header belongs to one connection and does not travel on.
func ConnectionHeader(name string) bool {
	return connectionHeaders[strings.ToLower(name)]
}

var edgeHeaders = map[string]bool{
	"authorization": true,
	"host":          true,
}

// RequestHeader reports whether a caller's header travels on to the backend server.
func RequestHeader(name string) bool {
	if InternalHeader(name) || ConnectionHeader(name) || strings.EqualFold(name, HeaderIdempotency) {
		return false
	}
	return !edgeHeaders[strings.ToLower(name)]
}
