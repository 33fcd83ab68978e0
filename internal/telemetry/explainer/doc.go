// Package explainer extracts the log lines about one request from the logs of
// all nodes, together with the last logged state of each node involved.
package explainer
