// Package drawer keeps the rates of workspaces over all nodes: for each
// workspace one node hands out tokens, and the others draw them as requests
// arrive. A small part is each node's own, for when that node is out of reach.
package drawer
