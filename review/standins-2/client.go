package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one client attempt and its outcome.
type attempt struct {
	id      string
	machine string
	method  string
	path    string
	key     string
	sentAt  time.Time
	endedAt time.Time
	status  int // 0 without an answer
	receipt string
	body    string
}

// attempts are the client attempts of a case.
type attempts struct {
	mu     sync.Mutex
	list   []attempt
	lastID atomic.Int64
}

func (a *attempts) add(x attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, x)
}

func (a *attempts) all() []attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]attempt(nil), a.list...)
}

// byID returns the attempts by their id.
func (a *attempts) byID() map[string]attempt {
	out := map[string]attempt{}
	for _, x := range a.all() {
		out[x.id] = x
	}
	return out
}

func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: (&net.Dialer{
				Timeout: time.Second,
			}).DialContext,
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     10 * time.Second,
			DisableCompression:  true,
		},
	}
}

// send sends one request to the node of the machine and records the outcome.
func (a *attempts) send(client *http.Client, m *machine, method, path, key string, limit time.Duration) attempt {
	x := attempt{
		id:      fmt.Sprintf("%016x", a.lastID.Add(1)),
		machine: m.name,
		method:  method,
		path:    path,
		key:     key,
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.outbound+path, http.NoBody)
	if err != nil {
		return x
	}
	req.Host = "shop.example"
	req.Header.Set(headerAttempt, x.id)
	req.Header.Set(headerDeadline, fmt.Sprint(limit.Milliseconds()))
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	x.sentAt = time.Now()
	res, err := client.Do(req)
	if err == nil {
		b, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err == nil {
			x.status = res.StatusCode
			x.receipt = res.Header.Get(headerReceipt)
			x.body = string(b)
		}
	}
	x.endedAt = time.Now()
	a.add(x)
	return x
}

// load sends requests at an even rate until done is closed, each in its own goroutine, at most inFlight at once.
func (a *attempts) load(m *machine, perSecond float64, inFlight int, method, path, key string, limit time.Duration, done <-chan struct{}) {
	client := newHTTPClient()
	running := make(chan struct{}, inFlight)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	group := sync.WaitGroup{}
	defer group.Wait()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		select {
		case running <- struct{}{}:
		default:
			continue
		}
		group.Go(func() {
			defer func() { <-running }()
			a.send(client, m, method, path, key, limit)
		})
	}
}
