package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	headerAttempt   = "X-Chivegauge-Attempt-Id"
	headerDeadline  = "X-Chivegauge-Deadline-Ms"
	headerExpected  = "X-Chivegauge-Expected-Instance"
	headerNotRun    = "X-Chivegauge-Not-Executed"
	headerSignature = "X-Chivegauge-Response-Signature"

	slots          = 32
	pingInterval   = 1500 * time.Millisecond
	pingTimeout    = time.Second
	restartDelay   = 4 * time.Second
	poisonMark     = "poison"
	keepAliveAfter = 10 * time.Second
)

// backend is a stand-in for a backend server: it starts again some seconds after a crash, with a new ID.
type backend struct {
	e    *environment
	m    *machine
	work func(w http.ResponseWriter, r *http.Request, body []byte)

	// onRun is called when the backend server begins to work on a request.
	onRun func(m *machine, r *http.Request, body []byte)

	mu     sync.Mutex
	boot   int
	server *http.Server
	ended  bool
	stop   chan struct{}
}

func startBackend(e *environment, m *machine, work func(w http.ResponseWriter, r *http.Request, body []byte), onRun func(m *machine, r *http.Request, body []byte)) (*backend, error) {
	b := &backend{e: e, m: m, work: work, onRun: onRun}
	return b, b.start()
}

// start begins the next boot.
func (b *backend) start() error {
	ln, err := net.Listen("tcp", b.m.at(portBackend))
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return ln.Close()
	}
	b.boot++
	id := fmt.Sprintf("i-%s-%d", strings.ReplaceAll(b.m.ip, ".", "-"), b.boot)
	boot := &boot{b: b, id: id, slots: make(chan struct{}, slots)}
	b.server = &http.Server{Handler: boot, ReadHeaderTimeout: time.Minute, IdleTimeout: keepAliveAfter}
	b.stop = make(chan struct{})
	go func(s *http.Server) { _ = s.Serve(ln) }(b.server)
	go b.ping(id, time.Now().UnixMilli(), b.stop)
	return nil
}

// crash ends the boot, closes its connections, and starts the next one later.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.stop:
		return
	default:
	}
	close(b.stop)
	_ = b.server.Close()
	time.AfterFunc(restartDelay, func() { _ = b.start() })
}

func (b *backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	select {
	case <-b.stop:
	default:
		close(b.stop)
		_ = b.server.Close()
	}
}

// ping reports to the node beside the backend server until the boot ends.
func (b *backend) ping(id string, born int64, stop chan struct{}) {
	client := &http.Client{Timeout: pingTimeout}
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"address": b.m.at(portBackend),
			"born":    born,
			"info":    map[string]any{"service": b.m.service, "version": "v1", "zone": b.m.zone, "slots": slots},
			"status":  map[string]any{"state": "ready", "sequence": sequence, "coldRemaining": "0ms"},
		})
		wait := pingInterval
		res, err := client.Post("http://"+b.m.at(portControl)+"/v1/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(body))
		if err != nil {
			wait /= 5 // the node has not started yet
		} else {
			_ = res.Body.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
	}
}

// boot is one boot of a backend server.
type boot struct {
	b     *backend
	id    string
	slots chan struct{}
}

// ServeHTTP reads a request, and runs it if it is for this boot and a slot is free.
func (o *boot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, attempt)
	w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(keepAliveAfter.Seconds())))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get(headerExpected); expected != "" && expected != o.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case o.slots <- struct{}{}:
		defer func() { <-o.slots }()
	default:
		w.Header().Set(headerNotRun, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	o.b.onRun(o.b.m, r, body)
	if bytes.HasPrefix(body, []byte(poisonMark)) {
		o.b.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerSignature, "of "+attempt)
	o.b.work(w, r, body)
}
