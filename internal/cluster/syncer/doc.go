// Package syncer keeps the configuration in sync with the store, and
// measures how long ago it was last verified as the newest.
package syncer
