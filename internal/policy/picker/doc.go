// Package picker chooses the backend server for an attempt by the outcomes of
// earlier attempts; results of health and load endpoints are only hints.
package picker
