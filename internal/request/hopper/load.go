package hopper

import (
	"fmt"

	"github.com/chivegauge/chivegauge/internal/policy/picker"
)

const loadFormat = "%d/%d/%d"

// EncodeLoad returns the load in the form in which an answer carries it.
func EncodeLoad(l picker.Load) string {
	return fmt.Sprintf(loadFormat, l.Running, l.Waiting, l.Limit)
}

// DecodeLoad returns the load in s, or no load at all.
func DecodeLoad(s string) picker.Load {
	l := picker.Load{}
	if _, err := fmt.Sscanf(s, loadFormat, &l.Running, &l.Waiting, &l.Limit); err != nil {
		return picker.Load{}
	}
	return l
}
