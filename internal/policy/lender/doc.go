// Package lender keeps the retry tokens of a call tree: they are lent to
// nested attempts and returned, so that the whole tree never spends more than
// it was born with.
package lender
