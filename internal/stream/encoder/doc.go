// Package encoder writes requests and answers in HTTP/1.1.
package encoder
