// Package picker chooses the backend server for an attempt from what earlier
// attempts showed; health and load endpoints are hints only.
package picker
