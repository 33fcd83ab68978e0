// Package asserter checks invariants where decisions are made: a violation is
// counted by name in production and panics where strict mode is on.
package asserter
