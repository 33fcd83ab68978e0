package chivegauge

// Workspace is a tenant with its rate, its burst and the hashes of its keys.
type Workspace struct {
	Name          string
	RatePerSecond float64
	Burst         float64
	Spread        int
	Keys          []Key

	// Importance goes before that of the route, where it is stated.
	Importance *Importance `json:",omitempty"`
}

// Key is a credential of a workspace, kept as a hash.
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

// WithoutKey returns the workspace without the key of the ID.
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

// HasKey reports whether the workspace holds the key of the ID.
func (w Workspace) HasKey(id string) bool {
	for _, k := range w.Keys {
		if k.ID == id {
			return true
		}
	}
	return false
}
