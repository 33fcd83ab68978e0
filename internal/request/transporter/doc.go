// Package transporter sends an attempt to the node beside another backend server and
// queries its outcome over new connections when the first one is silent or breaks.
package transporter
