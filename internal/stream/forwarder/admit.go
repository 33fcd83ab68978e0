package forwarder

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/chivegauge/chivegauge"
	"github.com/chivegauge/chivegauge/internal/request/router"
	"github.com/chivegauge/chivegauge/internal/stream/carrier"
)

// admit makes the call of a request and the number of backend servers that it may be sent to, or refuses it.
func (f *forwarder) admit(ctx context.Context, r *carrier.Request) (chivegauge.Call, int, *chivegauge.Refusal) {
	c := chivegauge.Call{
		RequestID: r.Header.Get(f.Names.Attempt),
		Caller:    f.Members.Self().Service,
		Method:    r.Method,
		Target:    r.Target,
	}
	cfg, ok := f.Config.Config.Router()
	if !ok {
		return c, 0, chivegauge.Refuse(chivegauge.CodeNotReady, "the node has no configuration yet").WithRetryAfter(millis(retryAfter))
	}
	route, ok := cfg.Route(r.Host, r.Method, r.Target)
	if !ok {
		return c, 0, chivegauge.Refuse(chivegauge.CodeRouteUnknown, "no route serves this host and path")
	}
	c.Route = route.Name
	c.Idempotent = route.Idempotent
	c.Importance = route.Importance
	c.Deadline = r.Arrived.Add(f.budget(r, route))
	if f.key(r) == "" {
		if importance, ok := f.Links.Called(r.Arrived, route, c.Deadline); ok {
			c.Importance = max(c.Importance, importance)
		}
	}
	if refusal := f.authorize(ctx, &c, r, route, cfg); refusal != nil {
		return c, 0, refusal
	}
	c.Service = f.service(route)
	return c, max(1, route.Attempts), nil
}

// budget returns the route's deadline, or what the caller allows if that is less.
func (f *forwarder) budget(r *carrier.Request, route chivegauge.Route) time.Duration {
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

// authorize sets the workspace of the call by its key and charges it.
func (f *forwarder) authorize(ctx context.Context, c *chivegauge.Call, r *carrier.Request, route chivegauge.Route, cfg router.Router) *chivegauge.Refusal {
	key := f.key(r)
	if key == "" && (route.Open || len(cfg.Workspaces()) == 0) {
		return nil
	}
	if age := f.Config.Config.Age(); !route.Open && age > f.ProofMax() {
		return chivegauge.Refuse(chivegauge.CodeNotReady, "the keys were proved valid "+age.Round(time.Millisecond).String()+" ago").WithRetryAfter(millis(retryAfter))
	}
	w, ok := cfg.Holder(key)
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
	if ok, wait := f.Rates.Take(ctx, w.Name); !ok {
		return chivegauge.Refuse(chivegauge.CodeRateExceeded, "the workspace is above its rate").WithRetryAfter(millis(wait))
	}
	return nil
}

// key returns the key that came with the request, or nothing.
func (f *forwarder) key(r *carrier.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, f.Names.KeyScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

func millis(d time.Duration) int {
	return max(1, int(d/time.Millisecond))
}
