// Package collector collects the active configuration version and the load of
// each member, for the operator's status page.
package collector
