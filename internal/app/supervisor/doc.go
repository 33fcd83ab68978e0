// Package supervisor builds a node from its settings and keeps its parts
// running: a part that fails is started again alone.
package supervisor
