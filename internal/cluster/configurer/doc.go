// Package configurer holds the configuration in force and answers the
// questions that each request asks of it.
package configurer
