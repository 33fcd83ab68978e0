// Package loader reads, checks and documents the settings of a node.
package loader
