// Package lessor grants time-limited leases of rate tokens from the slots that
// this node owns, so that the tokens in use never exceed those accrued.
package lessor
