package storeserver

import (
	"encoding/json"
	"os"
)

const fileMode = 0o600

// state is the content of the file that persists the store.
type state struct {
	Version uint64
	Era     uint64
	Objects map[string]object
}

// load reads the objects from the file; a missing or malformed file leaves the store empty.
func (s *StoreServer) load() {
	b, err := os.ReadFile(s.file)
	if err != nil {
		return
	}
	st := state{}
	if err := json.Unmarshal(b, &st); err != nil {
		return
	}
	s.version = st.Version
	s.era = max(1, st.Era)
	s.objects = st.Objects
}

// save writes the objects to the file, with a rename that replaces it atomically; the caller must hold s.mu.
func (s *StoreServer) save() {
	if s.file == "" {
		return
	}
	b, err := json.Marshal(state{
		Version: s.version,
		Era:     s.era,
		Objects: s.objects,
	})
	if err != nil {
		return
	}
	temporary := s.file + ".next"
	if err := os.WriteFile(temporary, b, fileMode); err != nil {
		return
	}
	_ = os.Rename(temporary, s.file)
}
