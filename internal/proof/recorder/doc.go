// Package recorder records decisions and their inputs as JSON lines in a file
// of bounded size.
package recorder
