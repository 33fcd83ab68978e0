// Package validator detects responses that break off or are no valid HTTP, where
// the readers of net/http take them for whole and valid ones.
package validator
