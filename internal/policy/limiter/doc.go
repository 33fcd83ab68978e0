// Package limiter decides how many requests a backend server runs at once.
package limiter
