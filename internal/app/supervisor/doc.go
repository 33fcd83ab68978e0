// Package supervisor builds a node from its settings and supervises its parts:
// a part that fails is restarted alone.
package supervisor
