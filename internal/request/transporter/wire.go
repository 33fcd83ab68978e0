package transporter

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/go-faster/errors"
)

// Paths of the peer listener.
const (
	// CallPath is the path that runs an attempt.
	CallPath = "/Call"
	// AwaitPath is the path that returns the outcome of an attempt sent before.
	AwaitPath = "/Await"
)

// HeaderIncarnation is the header with the incarnation of the node that a request is addressed to.
const HeaderIncarnation = chivegauge.HeaderPrefix + "Incarnation"

// The headers that are used only between nodes.
const (
	headerMethod     = chivegauge.HeaderPrefix + "Method"
	headerTarget     = chivegauge.HeaderPrefix + "Target"
	headerService    = chivegauge.HeaderPrefix + "Service"
	headerIdempotent = chivegauge.HeaderPrefix + "Idempotent"
	headerSuspect    = chivegauge.HeaderPrefix + "Suspect"
	headerStatus     = chivegauge.HeaderPrefix + "Status"
	headerMessage    = chivegauge.HeaderPrefix + "Message"
	headerFields     = chivegauge.HeaderPrefix + "Fields"
)

// EncodeCall sets the headers that carry a call, with the time in ms left until its deadline at now.
func EncodeCall(now time.Time, c chivegauge.Call, set func(name, value string)) error {
	fields, err := json.Marshal(c.Header)
	if err != nil {
		return errors.Wrap(err, "encode header fields")
	}
	set(chivegauge.HeaderRequest, c.RequestID)
	set(chivegauge.HeaderRoot, strconv.FormatUint(c.Root, hexBase))
	set(chivegauge.HeaderAttempt, c.AttemptID)
	set(chivegauge.HeaderRoute, c.Route)
	set(chivegauge.HeaderWorkspace, c.Workspace)
	set(chivegauge.HeaderKeyID, c.KeyID)
	set(chivegauge.HeaderImportance, c.Importance.String())
	set(chivegauge.HeaderBudgetMs, strconv.FormatInt(c.Budget(now).Milliseconds(), 10))
	set(chivegauge.HeaderTokens, strconv.Itoa(c.Tokens))
	set(chivegauge.HeaderDepth, strconv.Itoa(c.Depth))
	set(chivegauge.HeaderForwards, strconv.Itoa(c.Forwards))
	set(headerService, c.Service)
	set(headerIdempotent, strconv.FormatBool(c.Idempotent))
	set(headerSuspect, strconv.FormatBool(c.Suspect))
	set(headerMethod, c.Method)
	set(headerTarget, c.Target)
	set(headerFields, string(fields))
	if c.IdempotencyKey != "" {
		set(chivegauge.HeaderIdempotency, c.IdempotencyKey)
	}
	return nil
}

// DecodeCall returns the call that the headers carry, with its deadline relative to now, or an error.
func DecodeCall(now time.Time, get func(name string) string, body []byte) (chivegauge.Call, error) {
	c := chivegauge.Call{
		RequestID:      get(chivegauge.HeaderRequest),
		AttemptID:      get(chivegauge.HeaderAttempt),
		Route:          get(chivegauge.HeaderRoute),
		Service:        get(headerService),
		Workspace:      get(chivegauge.HeaderWorkspace),
		KeyID:          get(chivegauge.HeaderKeyID),
		Idempotent:     get(headerIdempotent) == "true",
		Suspect:        get(headerSuspect) == "true",
		IdempotencyKey: get(chivegauge.HeaderIdempotency),
		Method:         get(headerMethod),
		Target:         get(headerTarget),
		Body:           body,
	}
	if err := c.Importance.UnmarshalText([]byte(get(chivegauge.HeaderImportance))); err != nil {
		return c, err
	}
	if err := json.Unmarshal([]byte(get(headerFields)), &c.Header); err != nil {
		return c, errors.Wrap(err, "decode header fields")
	}
	budget, err := strconv.Atoi(get(chivegauge.HeaderBudgetMs))
	if err != nil {
		return c, errors.Wrap(err, "read budget")
	}
	c.Deadline = now.Add(time.Duration(budget) * time.Millisecond)
	if c.Root, err = strconv.ParseUint(get(chivegauge.HeaderRoot), hexBase, 64); err != nil {
		return c, errors.Wrap(err, "read root")
	}
	if c.Tokens, err = strconv.Atoi(get(chivegauge.HeaderTokens)); err != nil {
		return c, errors.Wrap(err, "read tokens")
	}
	if c.Forwards, err = strconv.Atoi(get(chivegauge.HeaderForwards)); err != nil {
		return c, errors.Wrap(err, "read forwards")
	}
	if c.Depth, err = strconv.Atoi(get(chivegauge.HeaderDepth)); err != nil {
		return c, errors.Wrap(err, "read depth")
	}
	return c, nil
}

// EncodeResponse sets the headers that carry a response.
func EncodeResponse(response chivegauge.Response, set func(name, value string)) error {
	fields, err := json.Marshal(response.Header)
	if err != nil {
		return errors.Wrap(err, "encode header fields")
	}
	set(chivegauge.HeaderAttempt, response.AttemptID)
	set(chivegauge.HeaderTokens, strconv.Itoa(response.Tokens))
	set(chivegauge.HeaderLevels, encodeLevels(response.Levels))
	set(headerStatus, strconv.Itoa(response.Status))
	set(headerFields, string(fields))
	if response.Refusal != nil {
		set(chivegauge.HeaderCode, string(response.Refusal.Code))
		set(chivegauge.HeaderRun, string(response.Refusal.Run))
		set(headerMessage, response.Refusal.Message)
		set(chivegauge.HeaderElsewhere, response.Refusal.RedirectAddress)
	}
	return nil
}

// decodeResponse returns the response in the headers and the body of a message from a peer, or an error.
func decodeResponse(h http.Header, body []byte) (chivegauge.Response, error) {
	response := chivegauge.Response{
		AttemptID: h.Get(chivegauge.HeaderAttempt),
		Body:      body,
	}
	status, err := strconv.Atoi(h.Get(headerStatus))
	if err != nil {
		return response, errors.Wrap(err, "parse response status")
	}
	if status < http.StatusOK || status > statusMax {
		return response, errors.Errorf("invalid response status %d", status)
	}
	response.Status = status
	if response.Tokens, err = strconv.Atoi(h.Get(chivegauge.HeaderTokens)); err != nil {
		return response, errors.Wrap(err, "read tokens")
	}
	if err := json.Unmarshal([]byte(h.Get(headerFields)), &response.Header); err != nil {
		return response, errors.Wrap(err, "decode header fields")
	}
	if response.Levels, err = decodeLevels(h.Get(chivegauge.HeaderLevels)); err != nil {
		return response, err
	}
	if code := h.Get(chivegauge.HeaderCode); code != "" {
		response.Refusal = &chivegauge.Refusal{
			Code:            chivegauge.Code(code),
			Run:             chivegauge.Run(h.Get(chivegauge.HeaderRun)),
			Message:         h.Get(headerMessage),
			RedirectAddress: h.Get(chivegauge.HeaderElsewhere),
		}
	}
	return response, nil
}

// encodeLevels returns the admission levels as comma-separated service=level pairs.
func encodeLevels(levels []chivegauge.ServiceLevel) string {
	parts := make([]string, 0, len(levels))
	for _, l := range levels {
		parts = append(parts, l.Service+"="+strconv.Itoa(l.Level))
	}
	return strings.Join(parts, ",")
}

func decodeLevels(s string) ([]chivegauge.ServiceLevel, error) {
	if s == "" {
		return nil, nil
	}
	parts := strings.Split(s, ",")
	levels := make([]chivegauge.ServiceLevel, 0, len(parts))
	for _, part := range parts {
		service, level, _ := strings.Cut(part, "=")
		n, err := strconv.Atoi(level)
		if err != nil {
			return nil, errors.Wrap(err, "parse admission level")
		}
		levels = append(levels, chivegauge.ServiceLevel{
			Service: service,
			Level:   n,
		})
	}
	return levels, nil
}

// EncodeIncarnation returns the incarnation in hexadecimal.
func EncodeIncarnation(n uint64) string {
	return strconv.FormatUint(n, hexBase)
}

// DecodeIncarnation parses a hexadecimal incarnation.
func DecodeIncarnation(s string) (uint64, error) {
	return strconv.ParseUint(s, hexBase, 64)
}

const (
	hexBase = 16

	// statusMax is the highest status that a response may have.
	statusMax = 599
)
