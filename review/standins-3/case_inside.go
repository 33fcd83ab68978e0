package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	insideRounds = 10
	insideWait   = 500 * time.Millisecond
)

// inside watches for requests that were no requests, but bytes in the body of another.
type inside struct {
	e  *environment
	mu sync.Mutex

	// smuggled are the IDs of those that a backend server ran.
	smuggled map[string]bool
}

func (x *inside) onRun(m *machine, r *http.Request, body []byte) {
	id := r.Header.Get(headerAttempt)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.e.record("backend %s runs %s %s %s, body %q", m.ip, id, r.Method, r.URL.Path, body)
	if len(id) > len(insidePrefix) && id[:len(insidePrefix)] == insidePrefix {
		x.smuggled[id] = true
	}
}

const insidePrefix = "inside-"

// outer returns the text of a request with the header fields, whose body follows.
func outer(id, fields string) string {
	return "POST /orders/new HTTP/1.1\r\nHost: " + host + "\r\n" + headerAttempt + ": " + id + "\r\n" + headerDeadline + ": 2000\r\n" + fields + "\r\n"
}

// playInside sends requests on a connection of their own; text returns one, whose body holds the given bytes.
func playInside(e *environment, text func(id, bytes string) string) (bool, error) {
	e.configure(1, readRoute, route{name: "r-orders", prefix: "/orders/", kind: "non_idempotent", timeout: 2 * time.Second, service: "orders", attempts: 1})
	for range 2 {
		e.addMachine("orders")
	}
	x := &inside{e: e, smuggled: map[string]bool{}}
	if err := e.startAll(func(m *machine) (*backend, error) { return startBackend(e, m, answerOK, x.onRun) }, "/read/probe"); err != nil {
		return false, err
	}
	for n := range insideRounds {
		m := e.machines[n%len(e.machines)]
		hidden := "POST /orders/hidden HTTP/1.1\r\nHost: " + host + "\r\n" + headerAttempt + ": " + insidePrefix + fmt.Sprint(n) + "\r\nContent-Length: 0\r\n\r\n"
		sent := text(fmt.Sprintf("outer-%d", n), hidden)
		nc, err := net.Dial("tcp", m.at(portOutbound))
		if err != nil {
			return false, err
		}
		_ = nc.SetDeadline(time.Now().Add(insideWait))
		_, _ = io.WriteString(nc, sent)
		got, _ := io.ReadAll(nc)
		_ = nc.Close()
		e.record("client at %s sent %q", m.ip, sent)
		e.record("client at %s got %q", m.ip, got)
	}
	x.mu.Lock()
	smuggled := len(x.smuggled)
	x.mu.Unlock()
	e.record("%d of %d requests inside others were run", smuggled, insideRounds)
	return smuggled == 0, e.running()
}

// chunks returns the bytes as a chunked body.
func chunks(bytes string) string {
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(bytes), bytes)
}

// playBroken sends requests with a chunked body whose second chunk has no size.
func playBroken(e *environment, trouble bool) (bool, error) {
	return playInside(e, func(id, bytes string) string {
		if trouble {
			return outer(id, "Transfer-Encoding: chunked\r\n") + "5\r\nfirst\r\n" + "-\r\n" + bytes
		}
		return outer(id, "Transfer-Encoding: chunked\r\n") + "5\r\nfirst\r\n" + chunks(bytes)
	})
}

// playBlank sends requests with a blank between the name Transfer-Encoding and its colon.
func playBlank(e *environment, trouble bool) (bool, error) {
	return playInside(e, func(id, bytes string) string {
		body := chunks(bytes)
		size := fmt.Sprintf("Content-Length: %d\r\n", len(fmt.Sprintf("%x\r\n", len(bytes))))
		if trouble {
			return outer(id, "Transfer-Encoding : chunked\r\n"+size) + body
		}
		return outer(id, "Transfer-Encoding: chunked\r\n") + body
	})
}
