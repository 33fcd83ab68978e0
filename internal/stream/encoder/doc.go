// Package encoder writes requests and responses in HTTP/1.1 format.
package encoder
