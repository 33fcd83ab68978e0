// Package announcer announces a node to the fleet through the object store, and
// reads the announcements of other nodes from it.
package announcer
