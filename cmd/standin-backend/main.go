// Command standin-backend runs a stand-in for a backend server, for tests and the demo.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/chivegauge/chivegauge/internal/standin/backendserver"
	"github.com/jessevdk/go-flags"
)

type options struct {
	Listen      string   `long:"listen" required:"true" description:"address to serve on"`
	Egress      string   `long:"egress" description:"URL of the egress listener of the node beside it"`
	Nested      []string `long:"nested" description:"path called on the egress listener for each request; may be repeated"`
	Slots       int      `long:"slots" default:"20" description:"requests worked on at once"`
	ServiceMs   float64  `long:"service-ms" default:"10" description:"service time in milliseconds"`
	Jitter      float64  `long:"jitter" default:"0.2" description:"share of the service time that varies"`
	ColdMs      int      `long:"cold-ms" default:"0" description:"length of the cold start in milliseconds"`
	ColdFactor  float64  `long:"cold-factor" default:"3" description:"factor on the service time in the cold start"`
	CrashMarker string   `long:"crash-marker" description:"a body that contains this ends the process"`
	Journal     string   `long:"journal" description:"file to which the ID of each run is appended"`
	Filler      int      `long:"filler" default:"0" description:"bytes added to each answer"`
}

func main() {
	opts := options{}
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	cfg := backendserver.Config{
		Slots:        opts.Slots,
		ServiceMs:    opts.ServiceMs,
		JitterShare:  opts.Jitter,
		ColdStartMs:  opts.ColdMs,
		ColdFactor:   opts.ColdFactor,
		Egress:       opts.Egress,
		Nested:       opts.Nested,
		CrashMarker:  opts.CrashMarker,
		EchoesToken:  true,
		AnswerFiller: opts.Filler,
		Journal:      opts.Journal,
	}
	srv := &http.Server{
		Addr:              opts.Listen,
		Handler:           backendserver.New(cfg, time.Now()),
		ReadHeaderTimeout: 5 * time.Second,
	}
	if err := srv.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
