// Package gossiper keeps the membership table of a SWIM-like protocol: members
// are suspected before they are marked dead, incarnations order the updates,
// and heartbeats between nodes carry the updates.
package gossiper
