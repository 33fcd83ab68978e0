// Command demo starts a small fleet as separate processes, sends traffic
// through it and prints what each step showed; it exits with 1 if an outcome is wrong.
package main

import (
	"fmt"
	"os"

	"github.com/chivegauge/chivegauge/internal/measure/presenter"
)

func main() {
	ok, err := presenter.Run(os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if !ok || err != nil {
		os.Exit(1)
	}
}
