package backendserver

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
	// Slots is the maximum number of requests that run at once.
	Slots     int
	ServiceMs float64
	// JitterShare is the fraction of the service time by which it varies at most in either direction.
	JitterShare float64
	ColdStartMs int
	// ColdFactor multiplies the service time during the cold start; values below 1 count as 1.
	ColdFactor float64
	// Egress is the URL of the node's egress listener, to which nested calls are sent.
	Egress string
	// Nested are the paths that each request calls one after another.
	Nested []string
	// ReportsUnhealthy makes health checks fail although requests are served.
	ReportsUnhealthy bool `json:"HealthLies"`
	// CrashMarker ends the process when a request body contains it.
	CrashMarker string
	// EchoesToken returns the context token of the request in the response.
	EchoesToken bool
	// AnswerFiller is the number of bytes added to each response body.
	AnswerFiller int
	// Journal is the file to which the ID of each run is appended.
	Journal string
}

// Report is the counters of the backend server since its process started.
type Report struct {
	Runs      int
	Finished  int
	Cancelled int
	// Doubled counts the runs of requests that had run before.
	Doubled int
	// KeysSeen counts the requests that carried an API key, which a node must remove.
	KeysSeen int
	Running  int
	// ByRequest counts the runs of each request.
	ByRequest map[string]int `json:",omitempty"`
}

// BackendServer is the stand-in for a backend server.
type BackendServer struct {
	mu      sync.Mutex
	cfg     Config
	started time.Time
	slots   chan struct{}
	report  Report
	client  *http.Client
}

const (
	// countedRequestsMax is the number of requests up to which runs are counted by request.
	countedRequestsMax = 400000
	journalMode        = 0o600
)

// New returns a backend server whose cold start begins at now.
func New(cfg Config, now time.Time) *BackendServer {
	return &BackendServer{
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
func (s *BackendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/standin/report":
		s.serveReport(w, r)
	case "/standin/config":
		s.serveConfig(w, r)
	case "/healthz":
		s.serveHealth(w)
	default:
		s.serveRequest(w, r)
	}
}

func (s *BackendServer) serveReport(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.report
	if r.URL.Query().Get("requests") == "" {
		report.ByRequest = nil
	}
	_ = json.NewEncoder(w).Encode(report)
}

func (s *BackendServer) serveConfig(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := json.NewDecoder(r.Body).Decode(&s.cfg); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (s *BackendServer) serveHealth(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]bool{
		"Healthy": !s.cfg.ReportsUnhealthy,
	})
}

func (s *BackendServer) config() Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg
}

func (s *BackendServer) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	cfg := s.config()
	id := r.Header.Get("Work-Id")
	s.begin(r, id)
	if cfg.CrashMarker != "" && strings.Contains(string(body), cfg.CrashMarker) {
		os.Exit(3)
	}
	ok := s.run(r, cfg)
	s.end(ok)
	if !ok {
		http.Error(w, "cancelled", http.StatusServiceUnavailable)
		return
	}
	if cfg.EchoesToken {
		w.Header().Set("Chivegauge-Context", r.Header.Get("Chivegauge-Context"))
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", r.URL.Path, id, r.Header.Get("Chivegauge-Workspace"))
	_, _ = w.Write(bytes.Repeat([]byte("."), cfg.AnswerFiller))
}

// run runs a request and reports whether it ended without a cancellation or a failed nested call.
func (s *BackendServer) run(r *http.Request, cfg Config) bool {
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return false
	}
	defer func() { <-s.slots }()
	if !sleep(r.Context(), s.serviceTime(cfg, time.Now())) {
		return false
	}
	for _, path := range cfg.Nested {
		if !s.nested(r, cfg, path) {
			return false
		}
	}
	return true
}

func (s *BackendServer) serviceTime(cfg Config, now time.Time) time.Duration {
	ms := cfg.ServiceMs * (1 + cfg.JitterShare*(2*rand.Float64()-1))
	cold := time.Duration(cfg.ColdStartMs) * time.Millisecond
	if now.Sub(s.started) < cold {
		ms *= max(1, cfg.ColdFactor)
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// nested sends a nested call and reports whether its response was 200 and complete.
func (s *BackendServer) nested(r *http.Request, cfg Config, path string) bool {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodPost, cfg.Egress+path, strings.NewReader("nested"))
	if err != nil {
		return false
	}
	req.Header.Set("Chivegauge-Context", r.Header.Get("Chivegauge-Context"))
	req.Header.Set("Work-Id", r.Header.Get("Work-Id"))
	res, err := s.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode == http.StatusOK
}

func (s *BackendServer) begin(r *http.Request, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Runs++
	s.report.Running++
	if r.Header.Get("Authorization") != "" || r.Header.Get("Chivegauge-Key") != "" {
		s.report.KeysSeen++
	}
	if id == "" || len(s.report.ByRequest) >= countedRequestsMax {
		return
	}
	s.report.ByRequest[id]++
	appendRun(s.cfg.Journal, id)
	if s.report.ByRequest[id] > 1 {
		s.report.Doubled++
	}
}

func (s *BackendServer) end(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Running--
	if ok {
		s.report.Finished++
		return
	}
	s.report.Cancelled++
}

// sleep waits for d and reports whether ctx did not end before that.
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

// appendRun appends the ID of a run to a file, which still exists after the process has crashed.
func appendRun(path, id string) {
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
