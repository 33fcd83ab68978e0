// Package receiver serves callers: it finds the route and the workspace of a
// request, charges its rate and sends it on.
package receiver
