// Package sizer measures the resources that a node uses for the control plane at
// a given fleet size.
package sizer
