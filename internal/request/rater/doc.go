// Package rater charges requests to the rate and burst of their workspace.
package rater
