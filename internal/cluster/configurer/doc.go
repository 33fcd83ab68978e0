// Package configurer holds the active configuration and looks up in it what each
// request needs, such as the workspace of a key.
package configurer
