// Package quarantiner tracks requests during which a backend server crashed,
// and decides which of them run alone and which are refused.
package quarantiner
