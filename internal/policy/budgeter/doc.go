// Package budgeter bounds the retries towards a destination to a share of
// the first attempts.
package budgeter
