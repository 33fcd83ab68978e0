package forwarder

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
)

// retryAfterDecimals is the number of decimals of the seconds in Retry-After, down to the millisecond.
const retryAfterDecimals = 3

// renderRefusal sets the status, the header and the JSON body of the refusal for the caller; only a request that did
// not run gets a Retry-After.
func renderRefusal(response *streamer.Response) {
	r := response.Refusal
	response.Status = status(r)
	body, err := json.Marshal(r)
	if err != nil {
		body = []byte(r.Error())
	}
	response.Header = http.Header{}
	response.Header.Set("Content-Type", "application/json")
	if r.RetryAfterMs > 0 && r.Run == chivegauge.NotRun {
		seconds := (time.Duration(r.RetryAfterMs) * time.Millisecond).Seconds()
		response.Header.Set(chivegauge.HeaderRetryAfter, strconv.FormatFloat(seconds, 'f', retryAfterDecimals, 64))
	}
	response.SetBody(body)
}

// status returns the HTTP status of a refusal; 429 and 503 are used only for a request that did not run and never will.
func status(r *chivegauge.Refusal) int {
	if r.Run == chivegauge.NotRun {
		if r.Code == chivegauge.CodeDeadline || r.Code == chivegauge.CodeQuarantined {
			return http.StatusServiceUnavailable
		}
		return r.Status()
	}
	if r.Code == chivegauge.CodeDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// logOutcome writes one log line with the outcome of the request.
func (f *forwarder) logOutcome(c chivegauge.Call, response *streamer.Response, tried []string, took time.Duration) {
	e := f.Log.Info()
	if response.Refusal != nil {
		e = f.Log.Warn().Str("Code", string(response.Refusal.Code)).Str("Run", string(response.Refusal.Run)).Str("Reason", response.Refusal.Message)
	}
	if e == nil {
		return
	}
	if c.Workspace != "" {
		e.Dur("ProofAgeMs", c.ConfigAge)
	}
	if len(tried) > 0 {
		e.Int("Attempts", len(tried)).Str("Member", tried[len(tried)-1])
	}
	e.Str("Request", c.RequestID).Str("Route", c.Route).Str("Service", c.Service).Str("Workspace", c.Workspace).
		Uint64("ConfigVersion", c.ConfigVersion).Int("Status", response.Status).Dur("TookMs", took).Msg("request answered")
}
