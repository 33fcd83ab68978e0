package driver

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
	outstandingMax = 20000
	connectionsMax = 2000
	codeTransport  = "Transport"
	codeTimeout    = "Timeout"
)

// Stream is one open-loop stream of requests.
type Stream struct {
	Name    string
	Key     string
	Method  string
	Path    string
	Targets []string
	Rate    func(t time.Duration) float64
	Target  func(t time.Duration) int
	Retries int
	Timeout time.Duration
	Keyed   bool
}

// Outcome is what became of one request.
type Outcome struct {
	ID       string
	Stream   string
	Intended time.Duration
	Latency  time.Duration
	Complete bool
	Code     string
	Run      string
	Sends    int

	// Reason is the start of the answer to a request that was not served.
	Reason string
}

// reasonBytes is the part of a failure's answer that is kept.
const reasonBytes = 200

// Driver sends streams.
type Driver interface {
	// Run sends the streams for the duration and returns the outcome of each request.
	Run(ctx context.Context, d time.Duration, streams []Stream) []Outcome
}

type driver struct {
	seed   uint64
	client *http.Client
	slots  chan struct{}

	mu       sync.Mutex
	outcomes []Outcome
}

// New returns a driver whose arrivals follow from the seed.
func New(seed uint64) Driver {
	return &driver{
		seed: seed,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: connectionsMax,
				MaxIdleConns:        connectionsMax,
				DisableCompression:  true,
			},
		},
		slots: make(chan struct{}, outstandingMax),
	}
}

// Run sends the streams; latency counts from the intended time of sending.
func (d *driver) Run(ctx context.Context, length time.Duration, streams []Stream) []Outcome {
	d.outcomes = nil
	start := time.Now()
	group := sync.WaitGroup{}
	for n, s := range streams {
		rng := rand.New(rand.NewPCG(d.seed, uint64(n)))
		group.Go(func() { d.stream(ctx, &group, start, length, s, rng) })
	}
	group.Wait()
	return d.outcomes
}

func (d *driver) stream(ctx context.Context, group *sync.WaitGroup, start time.Time, length time.Duration, s Stream, rng *rand.Rand) {
	at := time.Duration(0)
	for n := 0; ; n++ {
		rate := s.Rate(at)
		if rate <= 0 {
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
		d.slots <- struct{}{}
		intended := at
		id := fmt.Sprintf("%s-%d-%d", s.Name, d.seed, n)
		target := s.Targets[rng.IntN(len(s.Targets))]
		if s.Target != nil {
			target = s.Targets[s.Target(at)]
		}
		group.Go(func() {
			defer func() { <-d.slots }()
			d.record(d.request(ctx, start, s, id, target, intended))
		})
	}
}

func (d *driver) record(o Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomes = append(d.outcomes, o)
}

func (d *driver) request(ctx context.Context, start time.Time, s Stream, id, target string, intended time.Duration) Outcome {
	o := Outcome{
		ID:       id,
		Stream:   s.Name,
		Intended: intended,
	}
	for o.Sends <= s.Retries {
		o.Sends++
		d.send(ctx, s, id, target, &o)
		if o.Complete || ctx.Err() != nil {
			break
		}
	}
	o.Latency = time.Since(start) - intended
	return o
}

func (d *driver) send(ctx context.Context, s Stream, id, target string, o *Outcome) {
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
	res, err := d.client.Do(req)
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
		o.Reason = string(body[:min(len(body), reasonBytes)])
	}
	if res.StatusCode != http.StatusOK && o.Code == "" {
		o.Code = fmt.Sprintf("Status%d", res.StatusCode)
	}
}
