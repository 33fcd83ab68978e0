// Package experimenter runs the scenarios by which overload policies are
// compared, each on a fleet of separate processes, and reports one line of figures
// for each run.
package experimenter
