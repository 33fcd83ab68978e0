// Package experimenter runs the scenarios that the policy is judged by, each
// with separate processes, and reports one line of figures.
package experimenter
