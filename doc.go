// Package chivegauge defines the types that all parts of the overload control
// layer share: importance, routes, workspaces, the configuration, members,
// rate slots, refusals and the headers of requests.
//
// The program is cmd/chivegauge. The packages under internal/policy make the
// decisions: they have no clock, socket or goroutine, and get the time and
// the state as arguments. The other packages transport requests and state
// between nodes and call the decision packages.
package chivegauge
