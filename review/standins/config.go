package main

// route is a route of the configuration.
type route struct {
	name, host, prefix, kind, timeout, service string
	attempts                                   int
	public                                     bool
}

// tenant is a tenant of the configuration; rate 0 means no limit.
type tenant struct {
	name        string
	keys        []string
	rate, burst float64
}

// configuration returns the document as the operator writes it.
func configuration(version string, routes []route, services []string, tenants []tenant) any {
	routeRows := [][]any{}
	for _, r := range routes {
		routeRows = append(routeRows, []any{r.name, r.host, r.prefix, r.kind, r.timeout, "1000ms", 1, nil, r.attempts, r.public, r.service})
	}
	serviceRows := [][]any{}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/health", 500, "h1", false})
	}
	tenantRows := [][]any{}
	for _, t := range tenants {
		tenantRows = append(tenantRows, []any{t.name, t.keys, 1, t.rate, t.burst})
	}
	table := func(rows [][]any, columns ...string) any { return map[string]any{"columns": columns, "rows": rows} }
	return map[string]any{
		"version":  version,
		"routes":   table(routeRows, "name", "host", "pathPrefix", "kind", "timeout", "targetLatency", "priority", "weightedServices", "maxAttempts", "public", "service"),
		"services": table(serviceRows, "name", "healthPath", "maxConnections", "protocol", "tls"),
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"tenants":  table(tenantRows, "name", "apiKeys", "priority", "ratePerS", "burst"),
	}
}
