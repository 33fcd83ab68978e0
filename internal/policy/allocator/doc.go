// Package allocator decides which node keeps which rate slot; a slot is taken
// from its keeper only on proof that the keeper no longer uses it.
package allocator
