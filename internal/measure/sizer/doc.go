// Package sizer measures what a node spends for control at several fleet
// sizes, and the slopes between them.
package sizer
