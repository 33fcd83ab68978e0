package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Config is the behaviour of the backend server.
type Config struct {
	Slots        int
	ServiceMs    float64
	JitterShare  float64
	ColdStartMs  int
	ColdFactor   float64
	Egress       string
	Nested       []string
	HealthLies   bool
	CrashMarker  string
	EchoesToken  bool
	AnswerFiller int
	Journal      string
}

// Report is what the backend server counted since its start.
type Report struct {
	Runs      int
	Finished  int
	Cancelled int
	Doubled   int
	KeysSeen  int
	Running   int
	ByRequest map[string]int `json:",omitempty"`
}

// Worker is the backend server.
type Worker struct {
	mu      sync.Mutex
	cfg     Config
	started time.Time
	slots   chan struct{}
	report  Report
	client  *http.Client
}

const countedMax = 400000

// New returns a backend server that started at now.
func New(cfg Config, now time.Time) *Worker {
	return &Worker{
		cfg:     cfg,
		started: now,
		slots:   make(chan struct{}, cfg.Slots),
		report: Report{
			ByRequest: map[string]int{},
		},
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 512,
			},
		},
	}
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/standin/report":
		w.serveReport(rw, r)
	case "/standin/config":
		w.serveConfig(rw, r)
	case "/healthz":
		w.serveHealth(rw)
	default:
		w.work(rw, r)
	}
}

func (w *Worker) serveReport(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	report := w.report
	if r.URL.Query().Get("requests") == "" {
		report.ByRequest = nil
	}
	_ = json.NewEncoder(rw).Encode(report)
}

func (w *Worker) serveConfig(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := json.NewDecoder(r.Body).Decode(&w.cfg); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
	}
}

func (w *Worker) serveHealth(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = json.NewEncoder(rw).Encode(map[string]bool{
		"Healthy": !w.cfg.HealthLies,
	})
}

func (w *Worker) config() Config {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cfg
}

func (w *Worker) work(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	cfg := w.config()
	id := r.Header.Get("Work-Id")
	w.begin(r, id)
	if cfg.CrashMarker != "" && strings.Contains(string(body), cfg.CrashMarker) {
		os.Exit(3)
	}
	ok := w.run(r, cfg)
	w.end(ok)
	if !ok {
		http.Error(rw, "cancelled", http.StatusServiceUnavailable)
		return
	}
	if cfg.EchoesToken {
		rw.Header().Set("Chivegauge-Context", r.Header.Get("Chivegauge-Context"))
	}
	_, _ = fmt.Fprintf(rw, "%s %s %s", r.URL.Path, id, r.Header.Get("Chivegauge-Workspace"))
	_, _ = rw.Write(bytes.Repeat([]byte("."), cfg.AnswerFiller))
}

func (w *Worker) run(r *http.Request, cfg Config) bool {
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		return false
	}
	defer func() { <-w.slots }()
	if !sleep(r.Context(), w.serviceTime(cfg, time.Now())) {
		return false
	}
	for _, path := range cfg.Nested {
		if !w.nested(r, cfg, path) {
			return false
		}
	}
	return true
}

func (w *Worker) serviceTime(cfg Config, now time.Time) time.Duration {
	ms := cfg.ServiceMs * (1 + cfg.JitterShare*(2*rand.Float64()-1))
	cold := time.Duration(cfg.ColdStartMs) * time.Millisecond
	if now.Sub(w.started) < cold {
		ms *= max(1, cfg.ColdFactor)
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (w *Worker) nested(r *http.Request, cfg Config, path string) bool {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodPost, cfg.Egress+path, strings.NewReader("nested"))
	if err != nil {
		return false
	}
	req.Header.Set("Chivegauge-Context", r.Header.Get("Chivegauge-Context"))
	req.Header.Set("Work-Id", r.Header.Get("Work-Id"))
	res, err := w.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}

func (w *Worker) begin(r *http.Request, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report.Runs++
	w.report.Running++
	if r.Header.Get("Authorization") != "" || r.Header.Get("Chivegauge-Key") != "" {
		w.report.KeysSeen++
	}
	if id == "" || len(w.report.ByRequest) >= countedMax {
		return
	}
	w.report.ByRequest[id]++
	journal(w.cfg.Journal, id)
	if w.report.ByRequest[id] > 1 {
		w.report.Doubled++
	}
}

func (w *Worker) end(ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report.Running--
	if ok {
		w.report.Finished++
		return
	}
	w.report.Cancelled++
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

const journalMode = 0o600

// journal appends the ID of a run to a file, which outlives the process.
func journal(path, id string) {
	if path == "" {
		return
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, journalMode)
	if err != nil {
		return
	}
	_, _ = f.WriteString(id + "\n")
	_ = f.Close()
}
