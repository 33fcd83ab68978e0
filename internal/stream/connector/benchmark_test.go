package connector_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
)

// BenchmarkExchange measures a request and its response over a kept connection on the loopback interface.
func BenchmarkExchange(b *testing.B) {
	c := connect(b, start(b, func(_ int, _ *http.Request, nc net.Conn) bool {
		_, _ = io.WriteString(nc, wholeResponses["with a length"])
		return true
	}))
	b.ReportAllocs()
	for b.Loop() {
		response, err := c.Exchange(context.Background(), brokenRequest())
		if err != nil {
			b.Fatal(err)
		}
		response.Release()
	}
}
