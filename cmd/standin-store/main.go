// Command standin-store runs a stand-in for the object store, for tests and the demo.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/chivegauge/chivegauge/internal/standin/storeserver"
	"github.com/jessevdk/go-flags"
)

type options struct {
	Listen string `long:"listen" default:"127.0.0.1:7900" description:"address to serve on"`
	File   string `long:"file" description:"file that keeps the objects when the process ends"`
}

func main() {
	opts := options{}
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	srv := &http.Server{
		Addr:              opts.Listen,
		Handler:           storeserver.New(opts.File),
		ReadHeaderTimeout: 5 * time.Second,
	}
	if err := srv.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
