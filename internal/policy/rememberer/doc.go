// Package rememberer remembers idempotency keys and their answers, and decides
// what is told to a caller that sends one again.
package rememberer
