// Package keeper keeps slots of the rates of workspaces and lends tokens of
// them to nodes for a limited time, so that no more are in use than accrued.
package keeper
