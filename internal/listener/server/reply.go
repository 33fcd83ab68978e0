package server

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/chivegauge/chivegauge"
	"github.com/cloudwego/hertz/pkg/app"
)

const (
	contentTypeJSON = "application/json"
	msPerSecond     = 1000
)

// Reply writes a response or its refusal to a caller or a backend server.
func Reply(c *app.RequestContext, requestID string, res chivegauge.Response) {
	if requestID != "" {
		c.Response.Header.Set(chivegauge.HeaderRequest, requestID)
	}
	if res.Refusal != nil {
		Refuse(c, res.Refusal)
		return
	}
	c.SetStatusCode(res.Status)
	for _, f := range res.Header {
		c.Response.Header.Add(f.Name, f.Value)
	}
	c.Response.SetBodyRaw(res.Body)
}

// Refuse writes a refusal as a status, headers and a JSON body.
func Refuse(c *app.RequestContext, r *chivegauge.Refusal) {
	body, err := json.Marshal(r)
	if err != nil {
		body = nil
	}
	c.SetStatusCode(r.Status())
	c.Response.Header.Set(chivegauge.HeaderCode, string(r.Code))
	c.Response.Header.Set(chivegauge.HeaderRun, string(r.Run))
	if r.RetryAfterMs > 0 {
		seconds := (r.RetryAfterMs + msPerSecond - 1) / msPerSecond
		c.Response.Header.Set(chivegauge.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	c.Response.Header.SetContentType(contentTypeJSON)
	c.Response.SetBodyRaw(body)
}

// RequestFields returns the header fields of a request that are forwarded to the backend server: those that Connection
// lists end at this node.
func RequestFields(c *app.RequestContext) []chivegauge.HeaderField {
	h := http.Header{}
	c.Request.Header.VisitAll(func(k, v []byte) {
		if name := string(k); chivegauge.RequestHeader(name) || name == "Connection" {
			h.Add(name, string(v))
		}
	})
	return chivegauge.OwnHeaderNames().EndToEnd(h)
}

// Target returns the path and query of the request as they were sent.
func Target(c *app.RequestContext) string {
	return string(c.Request.Header.RequestURI())
}

// Body returns a copy of the request's body, which remains valid after the request.
func Body(c *app.RequestContext) []byte {
	return append([]byte(nil), c.Request.Body()...)
}
