package chivegauge

// HeaderNames are the names of the headers that callers and backend servers exchange with a node.
type HeaderNames struct {
	// Attempt carries the caller's ID of a request, which a backend server repeats in its answer.
	Attempt string

	// BudgetMs carries the time left for a request, in milliseconds.
	BudgetMs string

	// Workspace carries the workspace that a request runs for.
	Workspace string

	// Expected carries the ID of the only backend server that may run a request.
	Expected string

	// NotRun marks the answer of a backend server that did not run the request.
	NotRun string

	// Caller carries the service of the instance where a request began.
	Caller string

	// KeyScheme is the authorization scheme of keys.
	KeyScheme string
}

// OwnHeaderNames returns the names of the project's own interface.
func OwnHeaderNames() HeaderNames {
	return HeaderNames{
		Attempt:   HeaderRequest,
		BudgetMs:  HeaderBudgetMs,
		Workspace: HeaderWorkspace,
		Expected:  HeaderPrefix + "Expected-Instance",
		NotRun:    HeaderPrefix + "Not-Run",
		Caller:    HeaderPrefix + "Caller",
		KeyScheme: "Bearer",
	}
}
