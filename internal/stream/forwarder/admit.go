package forwarder

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/router"
	"github.com/chivegauge/chivegauge/internal/stream/streamer"
)

// admit returns the call that the request makes and the maximum number of attempts at backend servers, or a refusal.
func (f *forwarder) admit(ctx context.Context, r *streamer.Request) (chivegauge.Call, int, *chivegauge.Refusal) {
	c := chivegauge.Call{
		RequestID: r.Header.Get(f.Names.Attempt),
		Caller:    f.Members.Self().Service,
		Method:    r.Method,
		Target:    r.Target,
	}
	cfg, ok := f.Config.Config.Router()
	if !ok {
		return c, 0, chivegauge.Refuse(chivegauge.CodeNotReady, "the node has no configuration yet").WithRetryAfter(wholeMillis(refusalRetryAfter))
	}
	c.ConfigVersion = cfg.Version()
	route, ok := cfg.Route(r.Host, r.Method, r.Target)
	if !ok {
		return c, 0, chivegauge.Refuse(chivegauge.CodeRouteUnknown, "no route serves this host and path")
	}
	c.Route = route.Name
	c.Idempotent = route.Idempotent
	c.Importance = route.Importance
	c.Deadline = r.Arrived.Add(f.timeBudget(r, route))
	if f.bearerKey(r) == "" {
		if importance, ok := f.Correlator.Attribute(r.Arrived, route, c.Deadline); ok {
			c.Importance = max(c.Importance, importance)
		}
	}
	c, refusal := f.admitBeforeStop(r.Arrived, c)
	if refusal != nil {
		return c, 0, refusal
	}
	if refusal := f.authorize(ctx, &c, r, route, cfg); refusal != nil {
		return c, 0, refusal
	}
	c.Service = f.chooseService(route)
	return c, max(1, route.Attempts), nil
}

// timeBudget returns the smaller of the route's deadline and the time budget that the caller sent; if the caller sent
// no valid budget, it returns the deadline, and if the route has no deadline, it returns the caller's budget.
func (f *forwarder) timeBudget(r *streamer.Request, route chivegauge.Route) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(f.Names.BudgetMs))
	switch {
	case err != nil || ms < 0:
		return route.Deadline()
	case route.DeadlineMs <= 0:
		return time.Duration(ms) * time.Millisecond
	default:
		return min(route.Deadline(), time.Duration(ms)*time.Millisecond)
	}
}

// authorize finds the workspace by the key of the request and acquires a token of its rate limit, or returns a refusal.
// An open route also serves requests without a valid key.
func (f *forwarder) authorize(ctx context.Context, c *chivegauge.Call, r *streamer.Request, route chivegauge.Route, cfg router.Router) *chivegauge.Refusal {
	key := f.bearerKey(r)
	if key == "" && (route.Open || len(cfg.Workspaces()) == 0) {
		return nil
	}
	c.ConfigAge = f.Config.Config.Age()
	if !route.Open && c.ConfigAge > f.VerificationAgeMax() {
		return chivegauge.Refuse(chivegauge.CodeNotReady, "the keys were proved valid "+c.ConfigAge.Round(time.Millisecond).String()+" ago").WithRetryAfter(wholeMillis(refusalRetryAfter))
	}
	w, ok := cfg.WorkspaceByKey(key)
	if !ok && route.Open {
		return nil
	}
	if !ok {
		return chivegauge.Refuse(chivegauge.CodeKeyUnknown, "the key is not known or was withdrawn")
	}
	c.Workspace = w.Name
	if w.Importance != nil {
		c.Importance = *w.Importance
	}
	if ok, wait := f.RateLimiter.Acquire(ctx, w.Name); !ok {
		return chivegauge.Refuse(chivegauge.CodeRateExceeded, "the workspace is above its rate").WithRetryAfter(wholeMillis(wait))
	}
	return nil
}

// bearerKey returns the key in the Authorization header, or an empty string if there is none of the expected scheme.
func (f *forwarder) bearerKey(r *streamer.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, f.Names.KeyScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// wholeMillis returns the duration in milliseconds, at least 1: a refusal with 0 would have no retry delay.
func wholeMillis(d time.Duration) int {
	return max(1, int(d/time.Millisecond))
}
