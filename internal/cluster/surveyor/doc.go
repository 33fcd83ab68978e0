// Package surveyor asks each member what it has in force, for the operator's
// status page.
package surveyor
