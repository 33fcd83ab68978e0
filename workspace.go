package chivegauge

// Workspace is a tenant with its rate limit and its keys.
type Workspace struct {
	Name          string
	RatePerSecond float64
	Burst         float64

	// Spread is the number of rate slots that the rate limit is split over.
	Spread int

	Keys []Key

	// Importance overrides that of the route unless it is nil.
	Importance *Importance `json:",omitempty"`
}

// Key is a credential of a workspace, of which only the hash is stored.
type Key struct {
	ID   string
	Hash string
}

// WithKey returns the workspace with one more key.
func (w Workspace) WithKey(k Key) Workspace {
	keys := make([]Key, 0, len(w.Keys)+1)
	keys = append(keys, w.Keys...)
	keys = append(keys, k)
	w.Keys = keys
	return w
}

// WithoutKey returns the workspace without the key with the ID.
func (w Workspace) WithoutKey(id string) Workspace {
	keys := make([]Key, 0, len(w.Keys))
	for _, k := range w.Keys {
		if k.ID != id {
			keys = append(keys, k)
		}
	}
	w.Keys = keys
	return w
}

// HasKey reports whether the workspace has a key with the ID.
func (w Workspace) HasKey(id string) bool {
	for _, k := range w.Keys {
		if k.ID == id {
			return true
		}
	}
	return false
}
