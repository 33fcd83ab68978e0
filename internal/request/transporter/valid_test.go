package transporter_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/transporter"
	"github.com/chivegauge/chivegauge/internal/standin/rawserver"
	"github.com/matryer/is"
)

// noCanceller cancels nothing.
type noCanceller struct{}

func (noCanceller) Cancel(context.Context, chivegauge.Member, string) {}

// sendRaw sends a call to a node that sends the response with the header fields, and returns what its caller gets.
func sendRaw(t *testing.T, res rawserver.Response, fields string) chivegauge.Response {
	server, err := rawserver.Start(func(*http.Request) rawserver.Response {
		return res.WithFields("Chivegauge-Attempt: 1\r\nChivegauge-Tokens: 0\r\n" + fields)
	})
	is.New(t).NoErr(err)
	defer server.Close()
	tr := transporter.New(time.Now, 2*time.Second, bodyMaxBytes, noCanceller{})
	defer tr.Wait()
	response, _ := tr.Send(t.Context(), chivegauge.Member{
		Address: server.Address,
	}, chivegauge.Call{
		AttemptID: "1",
		Method:    http.MethodGet,
		Target:    "/",
		Deadline:  time.Now().Add(5 * time.Second),
	})
	return response
}

const bodyMaxBytes = 1000

// TestBrokenResponses guards against a response that breaks the rules of HTTP and is taken for the one of a node.
func TestBrokenResponses(t *testing.T) {
	for name, res := range rawserver.Responses() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response := sendRaw(t, res, "Chivegauge-Status: 200\r\nChivegauge-Fields: null\r\n")
			if !res.Broken {
				is.Equal(response.Refusal, nil)
				is.Equal(string(response.Body), res.Body)
				return
			}
			if response.Refusal == nil {
				t.Fatalf("taken for a response with body %q", response.Body)
			}
			is.Equal(response.Refusal.Run, chivegauge.MayHaveRun)
		})
	}
}

// TestInvalidStatusOfPeer guards against a node that passes on a status which is none.
func TestInvalidStatusOfPeer(t *testing.T) {
	tests := map[string]bool{"000": false, "99": false, "101": false, "200": true, "503": true, "599": true, "600": false, "-200": false, "": false}
	for status, valid := range tests {
		t.Run(status, func(t *testing.T) {
			response := sendRaw(t, rawserver.Responses()["length"], "Chivegauge-Status: "+status+"\r\nChivegauge-Fields: null\r\n")
			is.New(t).Equal(response.Refusal == nil, valid)
		})
	}
}

// TestLongResponseOfPeer guards against the start of a body that is longer than this node accepts, which the other one may
// accept, and is taken for the whole body.
func TestLongResponseOfPeer(t *testing.T) {
	for name, length := range map[string]int{"fits": bodyMaxBytes, "too long": bodyMaxBytes + 1, "much too long": 10 * bodyMaxBytes} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := strings.Repeat("x", length)
			response := sendRaw(t, rawserver.Response{
				Text: "HTTP/1.1 200 OK\r\n@Content-Length: " + strconv.Itoa(length) + "\r\n\r\n" + body,
			}, "Chivegauge-Status: 200\r\nChivegauge-Fields: null\r\n")
			if length <= bodyMaxBytes {
				is.Equal(response.Refusal, nil)
				is.Equal(string(response.Body), body)
				return
			}
			if response.Refusal == nil {
				t.Fatalf("taken for a response with a body of %d bytes", len(response.Body))
			}
			is.Equal(response.Refusal.Run, chivegauge.MayHaveRun)
		})
	}
}
