package storekeeper

import (
	"encoding/json"
	"os"
)

const fileMode = 0o600

// state is what outlives the process.
type state struct {
	Version uint64
	Objects map[string]object
}

// load reads the objects that an earlier process saved.
func (s *Storekeeper) load() {
	b, err := os.ReadFile(s.file)
	if err != nil {
		return
	}
	st := state{}
	if err := json.Unmarshal(b, &st); err != nil {
		return
	}
	s.version = st.Version
	s.objects = st.Objects
}

// save writes the objects to the file; s.mu is held.
func (s *Storekeeper) save() {
	if s.file == "" {
		return
	}
	b, err := json.Marshal(state{
		Version: s.version,
		Objects: s.objects,
	})
	if err != nil {
		return
	}
	next := s.file + ".next"
	if err := os.WriteFile(next, b, fileMode); err != nil {
		return
	}
	_ = os.Rename(next, s.file)
}
