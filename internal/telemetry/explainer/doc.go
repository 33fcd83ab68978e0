// Package explainer tells the story of one request from the log lines of all
// nodes.
package explainer
