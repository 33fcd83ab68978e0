// Package gossiper keeps the membership of the fleet by heartbeats between
// nodes, with suspicion, incarnations and news that ride on each exchange.
package gossiper
