// Package loader loads, validates and defines the settings of a node.
package loader
