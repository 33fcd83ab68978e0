// Command chivegauge runs a node or one of the tools for operators.
package main

import (
	"os"

	"github.com/chivegauge/chivegauge/internal/command/runner"
)

func main() {
	os.Exit(runner.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
