// Package chivegauge names the values that the parts of the overload control
// layer share: importance, routes, workspaces, configuration, members,
// refusals and the headers of a request.
//
// The program is cmd/chivegauge. The decisions are the packages under
// internal/policy, which hold no clock, socket or goroutine; the other
// packages carry requests and state to them.
package chivegauge
