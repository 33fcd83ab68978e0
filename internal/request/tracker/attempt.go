package tracker

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Attempt is the ID of an attempt: the sending node with its incarnation, and a sequence number.
type Attempt struct {
	Sender   string
	Sequence uint64
}

// String returns the attempt ID as sender#sequence, the sequence number in hexadecimal.
func (a Attempt) String() string {
	return a.Sender + "#" + strconv.FormatUint(a.Sequence, 16)
}

// Sender returns the sender name of a node as address@incarnation, the incarnation in hexadecimal.
func Sender(address string, incarnation uint64) string {
	return fmt.Sprintf("%s@%x", address, incarnation)
}

// ParseAttempt parses an attempt ID of the form sender#sequence.
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
