// Package announcer tells the fleet of a node through the object store, reads
// who else is there, and keeps a watch on documents where it is asked to.
package announcer
