// Package isolator keeps a request that kills backend servers from killing
// more than two of one service.
package isolator
