package transporter

import (
	"net/http"
	"strconv"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/policy/picker"
	"github.com/chivegauge/chivegauge/internal/request/transporter"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
	"github.com/go-faster/errors"
)

// Headers that only this transport uses between nodes, in addition to the common ones.
const (
	headerService    = chivegauge.HeaderPrefix + "Service"
	headerIdempotent = chivegauge.HeaderPrefix + "Idempotent"
	headerCaller     = chivegauge.HeaderPrefix + "Caller"
	headerMessage    = chivegauge.HeaderPrefix + "Message"
	headerTrial      = chivegauge.HeaderPrefix + "Trial"
	headerArrived    = chivegauge.HeaderPrefix + "Arrived"
)

// encodeCall returns a copy of the header with the fields of the call added, but for those with their zero value; the
// deadline is sent as the time budget that is left at now.
func encodeCall(now time.Time, c chivegauge.Call, from http.Header) http.Header {
	fields := [...]chivegauge.HeaderField{
		{Name: chivegauge.HeaderRoute, Value: c.Route},
		{Name: headerService, Value: c.Service},
		{Name: chivegauge.HeaderWorkspace, Value: c.Workspace},
		{Name: chivegauge.HeaderImportance, Value: c.Importance.String()},
		{Name: chivegauge.HeaderBudgetMs, Value: strconv.FormatInt(c.Budget(now).Milliseconds(), 10)},
		{Name: headerIdempotent, Value: flag(c.Idempotent)},
		{Name: headerCaller, Value: c.Caller},
		{Name: headerTrial, Value: flag(c.Trial)},
	}
	h := make(http.Header, len(from)+len(fields))
	for name, values := range from {
		h[name] = values
	}
	values := make([]string, len(fields))
	for i, f := range fields {
		delete(h, f.Name)
		if f.Value != "" {
			values[i] = f.Value
			h[f.Name] = values[i : i+1 : i+1]
		}
	}
	return h
}

// Forwarded reports whether the header is of a request that another node forwarded, whatever other fields it has.
func Forwarded(h http.Header) bool {
	return h.Get(chivegauge.HeaderBudgetMs) != ""
}

// flag returns the value of a header that is left out if it is false.
func flag(on bool) string {
	if on {
		return "true"
	}
	return ""
}

// decodeCall returns the call that encodeCall added to the header; its deadline is the received time budget after now.
func decodeCall(now time.Time, id string, h http.Header) (chivegauge.Call, error) {
	c := chivegauge.Call{
		RequestID:  id,
		Route:      h.Get(chivegauge.HeaderRoute),
		Service:    h.Get(headerService),
		Workspace:  h.Get(chivegauge.HeaderWorkspace),
		Idempotent: h.Get(headerIdempotent) == "true",
		Caller:     h.Get(headerCaller),
		Trial:      h.Get(headerTrial) == "true",
	}
	if err := c.Importance.UnmarshalText([]byte(h.Get(chivegauge.HeaderImportance))); err != nil {
		return c, err
	}
	budget, err := strconv.Atoi(h.Get(chivegauge.HeaderBudgetMs))
	if err != nil {
		return c, errors.Wrap(err, "read budget")
	}
	c.Deadline = now.Add(time.Duration(budget) * time.Millisecond)
	return c, nil
}

// encodeResponse adds the load and, if the response is a refusal, its fields to the header.
func encodeResponse(response *streamer.Response, load picker.Load) {
	response.Header.Set(chivegauge.HeaderRunning, transporter.EncodeLoad(load))
	r := response.Refusal
	if r == nil {
		return
	}
	response.Header.Set(chivegauge.HeaderCode, string(r.Code))
	response.Header.Set(chivegauge.HeaderRun, string(r.Run))
	response.Header.Set(headerMessage, r.Message)
	response.Header.Set(chivegauge.HeaderRetryAfter, strconv.Itoa(r.RetryAfterMs))
	response.Header.Set(headerArrived, strconv.FormatBool(r.ReachedBackend))
}

// decodeResponse returns the load and sets the refusal that encodeResponse added to the header, and removes all
// internal fields from the header.
func decodeResponse(response *streamer.Response) picker.Load {
	load := transporter.DecodeLoad(response.Header.Get(chivegauge.HeaderRunning))
	if code := response.Header.Get(chivegauge.HeaderCode); code != "" {
		response.Refusal = decodeRefusal(response.Header, code)
	}
	for name := range response.Header {
		if chivegauge.InternalHeader(name) {
			delete(response.Header, name)
		}
	}
	return load
}

func decodeRefusal(h http.Header, code string) *chivegauge.Refusal {
	r := &chivegauge.Refusal{
		Code:           chivegauge.Code(code),
		Run:            chivegauge.Run(h.Get(chivegauge.HeaderRun)),
		Message:        h.Get(headerMessage),
		ReachedBackend: h.Get(headerArrived) == "true",
	}
	if ms, err := strconv.Atoi(h.Get(chivegauge.HeaderRetryAfter)); err == nil {
		r.RetryAfterMs = ms
	}
	return r
}
