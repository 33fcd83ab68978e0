package tracker

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Attempt identifies one attempt by its sending node, that node's incarnation and a sequence number.
type Attempt struct {
	Sender   string
	Sequence uint64
}

// String returns the attempt in the form in which it travels.
func (a Attempt) String() string {
	return a.Sender + "#" + strconv.FormatUint(a.Sequence, 16)
}

// Sender returns the name under which a node of the address and incarnation sends.
func Sender(address string, incarnation uint64) string {
	return fmt.Sprintf("%s@%x", address, incarnation)
}

// ParseAttempt returns the attempt in s, or an error.
func ParseAttempt(s string) (Attempt, error) {
	sender, seq, ok := strings.Cut(s, "#")
	if !ok || sender == "" {
		return Attempt{}, errors.Errorf("attempt %q has no sequence", s)
	}
	n, err := strconv.ParseUint(seq, 16, 64)
	if err != nil {
		return Attempt{}, errors.Wrapf(err, "attempt %q", s)
	}
	return Attempt{
		Sender:   sender,
		Sequence: n,
	}, nil
}
