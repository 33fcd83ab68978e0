// Package seeder starts the tests of a package with strict invariants and a
// fixed seed, so that each run gives the same verdict.
package seeder
