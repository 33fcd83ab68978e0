// Command demo starts a small fleet as separate processes, sends traffic through it and prints the outcome of each
// step; it exits with 1 if an outcome is not the expected one.
package main

import (
	"fmt"
	"os"

	"github.com/chivegauge/chivegauge/internal/measure/demonstrator"
)

func main() {
	ok, err := demonstrator.Run(os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if !ok || err != nil {
		os.Exit(1)
	}
}
