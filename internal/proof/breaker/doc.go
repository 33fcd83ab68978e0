// Package breaker breaks a fleet of separate processes in the ways that
// machines and networks do, for tests of what still holds.
package breaker
