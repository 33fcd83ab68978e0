// Package receiver serves callers: it finds the route and the workspace of a
// request, checks admission and the rate limit, and dispatches the request.
package receiver
