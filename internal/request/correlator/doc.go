// Package correlator finds the incoming request that made an outgoing call. Calls
// don't name the request, but services propagate deadlines: a call that has less
// time left than its route allows has inherited the deadline of its parent.
package correlator
