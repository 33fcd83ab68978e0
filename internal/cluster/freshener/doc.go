// Package freshener keeps the configuration in force and the age of the
// proof that no newer one exists.
package freshener
