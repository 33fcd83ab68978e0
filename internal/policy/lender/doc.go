// Package lender accounts for the retry tokens of a call tree: tokens are lent
// to nested attempts, and the unspent ones are returned, so that the whole tree
// never spends more tokens than it started with.
package lender
