// Package divider keeps this node's part of the rates of workspaces.
package divider
