// Package budgeter limits the retries to each destination to a ratio of the
// first attempts.
package budgeter
