package loadgenerator

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/chivegauge/chivegauge"
)

const (
	outstandingMax     = 20000
	idleConnectionsMax = 2000
	reasonMaxBytes     = 200
	codeTransport      = "Transport"
	codeTimeout        = "Timeout"
)

// Stream is one open-loop stream of requests.
type Stream struct {
	Name   string
	Key    string
	Method string
	Path   string
	// Targets are the addresses to which requests are sent, at random if Target is nil.
	Targets []string
	// Rate returns the requests a second at time t after the start.
	Rate func(t time.Duration) float64
	// Target returns the index of the target at time t after the start.
	Target func(t time.Duration) int
	// Retries is how often a request is sent again at most if its response is not complete.
	Retries int
	// Timeout limits each sending of a request.
	Timeout time.Duration
	// Keyed sends the ID of the request as its idempotency key.
	Keyed bool
}

// Outcome is the outcome of one request.
type Outcome struct {
	ID     string
	Stream string
	// Intended is the intended time of the first sending, from the start.
	Intended time.Duration
	// Latency is the time from Intended to the end of the last sending.
	Latency time.Duration
	// Complete reports whether the last response had status 200 and contained the ID of the request.
	Complete bool
	// Code is the error code of the last response, "Status" and its status if it has none, or "Transport" or
	// "Timeout" if there was no response.
	Code string
	// Run is the run state that the last response reported.
	Run string
	// Sends is the number of times that the request was sent.
	Sends int
	// Reason is the start of the body of the last response that was not complete.
	Reason string
}

// LoadGenerator sends streams of requests.
type LoadGenerator interface {
	// Run sends the streams for the duration d and returns the outcome of each request.
	Run(ctx context.Context, d time.Duration, streams []Stream) []Outcome
}

type loadGenerator struct {
	seed   uint64
	client *http.Client
	// slots limits the outstanding requests; sending is delayed at the limit.
	slots chan struct{}

	mu       sync.Mutex
	outcomes []Outcome
}

// New returns a load generator whose arrival times and targets are determined by the seed.
func New(seed uint64) LoadGenerator {
	return &loadGenerator{
		seed: seed,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: idleConnectionsMax,
				MaxIdleConns:        idleConnectionsMax,
				DisableCompression:  true,
			},
		},
		slots: make(chan struct{}, outstandingMax),
	}
}

// Run sends the streams for the duration; a request that is sent late counts its latency from the intended time.
func (g *loadGenerator) Run(ctx context.Context, length time.Duration, streams []Stream) []Outcome {
	g.outcomes = nil
	start := time.Now()
	group := sync.WaitGroup{}
	for n, s := range streams {
		rng := rand.New(rand.NewPCG(g.seed, uint64(n)))
		group.Go(func() { g.stream(ctx, &group, start, length, s, rng) })
	}
	group.Wait()
	return g.outcomes
}

func (g *loadGenerator) stream(ctx context.Context, group *sync.WaitGroup, start time.Time, length time.Duration, s Stream, rng *rand.Rand) {
	at := time.Duration(0)
	for n := 0; ; n++ {
		rate := s.Rate(at)
		if rate <= 0 {
			// The rate is read again every 10 ms while it is 0.
			at += 10 * time.Millisecond
			rate = 0
		} else {
			at += time.Duration(-math.Log(1-rng.Float64()) / rate * float64(time.Second))
		}
		if at >= length || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(start.Add(at)))
		if rate == 0 {
			continue
		}
		g.slots <- struct{}{}
		intended := at
		id := fmt.Sprintf("%s-%d-%d", s.Name, g.seed, n)
		target := s.Targets[rng.IntN(len(s.Targets))]
		if s.Target != nil {
			target = s.Targets[s.Target(at)]
		}
		group.Go(func() {
			defer func() { <-g.slots }()
			g.record(g.request(ctx, start, s, id, target, intended))
		})
	}
}

func (g *loadGenerator) record(o Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outcomes = append(g.outcomes, o)
}

func (g *loadGenerator) request(ctx context.Context, start time.Time, s Stream, id, target string, intended time.Duration) Outcome {
	o := Outcome{
		ID:       id,
		Stream:   s.Name,
		Intended: intended,
	}
	for o.Sends <= s.Retries {
		o.Sends++
		g.send(ctx, s, id, target, &o)
		if o.Complete || ctx.Err() != nil {
			break
		}
	}
	o.Latency = time.Since(start) - intended
	return o
}

func (g *loadGenerator) send(ctx context.Context, s Stream, id, target string, o *Outcome) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, s.Method, "http://"+target+s.Path, strings.NewReader("request "+id))
	if err != nil {
		o.Code = codeTransport
		return
	}
	req.Header.Set("Authorization", "Bearer "+s.Key)
	req.Header.Set("Work-Id", id)
	if s.Keyed {
		req.Header.Set(chivegauge.HeaderIdempotency, id)
	}
	res, err := g.client.Do(req)
	if err != nil {
		o.Code = codeTransport
		if ctx.Err() != nil {
			o.Code = codeTimeout
		}
		return
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		o.Code = codeTransport
		return
	}
	o.Code = res.Header.Get(chivegauge.HeaderCode)
	o.Run = res.Header.Get(chivegauge.HeaderRun)
	o.Complete = res.StatusCode == http.StatusOK && strings.Contains(string(body), id)
	if !o.Complete {
		o.Reason = string(body[:min(len(body), reasonMaxBytes)])
	}
	if res.StatusCode != http.StatusOK && o.Code == "" {
		o.Code = fmt.Sprintf("Status%d", res.StatusCode)
	}
}
