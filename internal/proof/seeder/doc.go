// Package seeder runs the tests of a package with strict invariants and a fixed
// seed, which makes their results reproducible.
package seeder
