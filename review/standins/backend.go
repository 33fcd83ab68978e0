package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of the platform.
const (
	headerAttempt   = "X-Chivegauge-Attempt-Id"
	headerDeadline  = "X-Chivegauge-Deadline-Ms"
	headerTenant    = "X-Chivegauge-Tenant"
	headerCaller    = "X-Chivegauge-Caller-Service"
	headerExpected  = "X-Chivegauge-Expected-Instance"
	headerSignature = "X-Chivegauge-Response-Signature"
	headerNotRun    = "X-Chivegauge-Not-Executed"
)

const heartbeatPeriod = 1500 * time.Millisecond

// run is one request that a backend server began to work on.
type run struct {
	at      time.Time
	backend string
	attempt string
	path    string
	tenant  string
	caller  string
}

// backend is a stand-in for a backend server.
type backend struct {
	name    string
	id      string
	service string
	zone    string
	address string
	control string
	slots   int
	work    time.Duration
	body    []byte
	born    int64
	onRun   func(run)
	onPath  func(*backend, *http.Request) bool // handles a request that it returns true for
	log     *record

	mu       sync.Mutex
	sequence uint64
	silent   bool // sends no further pings
	server   *http.Server
	boots    int
}

func (b *backend) start(ctx context.Context) error {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: b, ReadHeaderTimeout: 5 * time.Second}
	b.mu.Lock()
	b.born = time.Now().UnixMilli()
	b.server = server
	b.sequence = 0
	b.silent = false
	b.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go b.beat(ctx)
	return nil
}

// crash ends the process of the backend server without a word, and starts another one after the time.
func (b *backend) crash(ctx context.Context, back time.Duration) {
	b.mu.Lock()
	if b.silent {
		b.mu.Unlock()
		return // it has crashed already
	}
	b.silent = true
	server := b.server
	b.mu.Unlock()
	_ = server.Close()
	time.Sleep(back)
	b.mu.Lock()
	b.boots++
	b.id = fmt.Sprintf("i-%s-%s-%d", b.service, b.name, b.boots)
	b.mu.Unlock()
	if err := b.start(ctx); err != nil {
		b.log.linef("backend server of %s not started: %v", b.name, err)
	}
}

// identity returns the ID of the process that runs.
func (b *backend) identity() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.id
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Chivegauge-Instance-Id", b.identity())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	_ = body
	id := r.Header.Get(headerAttempt)
	if expected := r.Header.Get(headerExpected); expected != "" && expected != b.identity() {
		w.Header().Set(headerAttempt, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.onRun(run{
		at:      time.Now(),
		backend: b.identity(),
		attempt: id,
		path:    r.URL.Path,
		tenant:  r.Header.Get(headerTenant),
		caller:  r.Header.Get(headerCaller),
	})
	if b.onPath != nil && b.onPath(b, r) {
		return
	}
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(headerAttempt, id)
	w.Header().Set(headerSignature, "s-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	_, _ = w.Write(b.body)
}

// ping returns the next ping, in the state.
func (b *backend) ping(state string) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	out, _ := json.Marshal(map[string]any{
		"address": b.address,
		"born":    b.born,
		"info":    map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
		"status":  map[string]any{"state": state, "sequence": b.sequence, "coldRemaining": "0ms"},
	})
	return out
}

// send makes a call at the node's control address, and returns the status.
func (b *backend) send(method string, body []byte) (int, error) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	res, err := client.Post("http://"+b.control+"/v1/Instances."+method+"/"+b.identity(), "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	_ = res.Body.Close()
	return res.StatusCode, nil
}

func (b *backend) setSilent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = true
}

func (b *backend) beat(ctx context.Context) {
	b.mu.Lock()
	boot := b.boots
	b.mu.Unlock()
	for ctx.Err() == nil {
		b.mu.Lock()
		stop := b.silent || b.boots != boot
		b.mu.Unlock()
		if stop {
			return
		}
		status, err := b.send("Heartbeat", b.ping("ready"))
		wait := heartbeatPeriod
		if err != nil || status != http.StatusOK {
			wait = 200 * time.Millisecond
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// deregister says that the backend server leaves, until that is acknowledged.
func (b *backend) deregister() (time.Time, error) {
	b.setSilent()
	for range 5 {
		status, err := b.send("Deregister", []byte(fmt.Sprintf(`{"born":%d}`, b.born)))
		if err == nil && status == http.StatusOK {
			return time.Now(), nil
		}
	}
	return time.Time{}, fmt.Errorf("no ack of the departure of %s", b.identity())
}
