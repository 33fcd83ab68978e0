// Package quarantiner remembers requests that ended with their backend
// server's death, and decides which of them run alone and which do not run.
package quarantiner
