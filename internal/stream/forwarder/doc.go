// Package forwarder takes a request where it begins, decides whether and
// where it runs, and answers for the outcome.
package forwarder
