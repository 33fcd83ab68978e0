// Package asserter checks the invariants of decisions: it counts violations by
// invariant, and panics on a violation in strict mode, which tests use.
package asserter
