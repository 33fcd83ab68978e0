// Command capacity measures fleets of several sizes and prints one line of JSON for each, then the increase of each
// resource per additional node.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/chivegauge/chivegauge/internal/measure/sizer"
	"github.com/jessevdk/go-flags"
)

type options struct {
	Sizes []int `long:"size" description:"number of nodes; may be repeated" default:"10" default:"30" default:"90"`
}

func main() {
	opts := options{}
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(opts.Sizes); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(sizes []int) error {
	var list []sizer.Size
	for _, n := range sizes {
		size, err := sizer.Measure(n)
		if err != nil {
			return err
		}
		list = append(list, size)
		if err := json.NewEncoder(os.Stdout).Encode(size); err != nil {
			return err
		}
	}
	if len(list) < 2 {
		return nil
	}
	first := list[0]
	last := list[len(list)-1]
	nodes := float64(last.Nodes - first.Nodes)
	fmt.Printf("for each node more: %.2f control bytes a second, %.5f %% of a core, %.4f MiB, %.3f store calls a second\n",
		(last.ControlBytesPerSecond-first.ControlBytesPerSecond)/nodes,
		(last.CorePercent-first.CorePercent)/nodes,
		(last.MemoryMiB-first.MemoryMiB)/nodes,
		(last.StoreCallsPerSecond-first.StoreCallsPerSecond)/nodes)
	return nil
}
