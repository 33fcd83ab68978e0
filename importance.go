package chivegauge

import "github.com/go-faster/errors"

// Importance is the rank of a request under overload: requests of lower ranks are shed first.
type Importance int

// The ranks, lowest first.
const (
	Low Importance = iota
	Normal
	High
	Critical
)

// ImportanceCount is the number of ranks.
const ImportanceCount = 4

var importanceNames = [ImportanceCount]string{"Low", "Normal", "High", "Critical"}

// String returns the name of the rank, or "Unknown".
func (i Importance) String() string {
	if !i.Valid() {
		return "Unknown"
	}
	return importanceNames[i]
}

// Valid reports whether the rank is one of the four that are defined.
func (i Importance) Valid() bool {
	return i >= Low && i <= Critical
}

// MarshalText returns the name of the rank, or an error for an unknown rank.
func (i Importance) MarshalText() ([]byte, error) {
	if !i.Valid() {
		return nil, errors.Errorf("importance %d is unknown", int(i))
	}
	return []byte(i.String()), nil
}

// UnmarshalText sets the rank to the one with the name in b, or returns an error for an unknown name.
func (i *Importance) UnmarshalText(b []byte) error {
	for n, name := range importanceNames {
		if name == string(b) {
			*i = Importance(n)
			return nil
		}
	}
	return errors.Errorf("importance %q is not one of Low, Normal, High, Critical", b)
}
