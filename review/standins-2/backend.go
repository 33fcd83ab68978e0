package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The headers that the pages name.
const (
	headerAttempt  = "X-Chivegauge-Attempt-Id"
	headerDeadline = "X-Chivegauge-Deadline-Ms"
	headerTenant   = "X-Chivegauge-Tenant"
	headerExpected = "X-Chivegauge-Expected-Instance"
	headerNotRun   = "X-Chivegauge-Not-Executed"
	headerReceipt  = "X-Chivegauge-Response-Signature"
	headerInstance = "X-Chivegauge-Instance-Id"
)

const heartbeatPeriod = 1500 * time.Millisecond

// run is one run of a request at a backend.
type run struct {
	id      string
	at      time.Time
	backend string
	machine string
	tenant  string
	path    string
}

// runs are the runs at all backends.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// backend is a stand-in for the application backend of a machine.
type backend struct {
	id      string
	machine string
	service string
	address string
	control string
	born    int64
	work    time.Duration
	answer  int // bytes of an answer
	slots   chan struct{}
	runs    *runs
	onCrash func() // called when a request crashes the backend
	server  *http.Server
	done    chan struct{}
	ended   sync.Once
	crashed sync.Once

	mu       sync.Mutex
	state    string
	sequence int
	answers  int
	spoiling float64
}

func startBackend(b *backend, slots int) error {
	b.born = time.Now().UnixMilli()
	b.slots = make(chan struct{}, slots)
	b.done = make(chan struct{})
	b.state = "ready"
	b.server = &http.Server{
		Handler:           b,
		ReadHeaderTimeout: 10 * time.Second,
	}
	ln, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	go func() { _ = b.server.Serve(ln) }()
	go b.sendHeartbeats()
	return nil
}

func (b *backend) stop() {
	b.ended.Do(func() {
		close(b.done)
		_ = b.server.Close()
	})
}

// sendHeartbeats reports to the node until the backend ends; a refused or unanswered call is followed by the next one.
func (b *backend) sendHeartbeats() {
	client := &http.Client{
		Timeout: time.Second,
	}
	for wait := 100 * time.Millisecond; ; {
		select {
		case <-b.done:
			return
		case <-time.After(wait):
		}
		wait = heartbeatPeriod
		if !b.heartbeat(client) {
			wait = 300 * time.Millisecond
		}
	}
}

func (b *backend) heartbeat(client *http.Client) bool {
	b.mu.Lock()
	b.sequence++
	body, _ := json.Marshal(map[string]any{
		"address": b.address,
		"born":    b.born,
		"info":    map[string]any{"service": b.service, "zone": "z1", "version": "v1", "slots": cap(b.slots)},
		"status":  map[string]any{"state": b.state, "sequence": b.sequence, "coldRemaining": "0ms"},
	})
	b.mu.Unlock()
	res, err := client.Post("http://"+b.control+"/v1/Instances.Heartbeat/"+b.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerAttempt)
	if r.URL.Path == "/health" {
		w.Header().Set(headerInstance, b.id)
		return
	}
	w.Header().Set(headerAttempt, id)
	if want := r.Header.Get(headerExpected); want != "" && want != b.id {
		w.Header().Set(headerInstance, b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	default:
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	b.runs.add(run{
		id:      id,
		at:      time.Now(),
		backend: b.id,
		machine: b.machine,
		tenant:  r.Header.Get(headerTenant),
		path:    r.URL.Path,
	})
	select {
	case <-r.Context().Done():
		return
	case <-time.After(b.work):
	}
	if strings.Contains(r.URL.Path, "/poison") {
		b.crashed.Do(func() { go b.onCrash() })
		time.Sleep(100 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(b.receiptName(), "receipt-"+id)
	text := fmt.Sprintf("%s ran %s\n", b.id, id)
	_, _ = io.WriteString(w, text+strings.Repeat("x", max(0, b.answer-len(text))))
}
