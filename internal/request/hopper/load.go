package hopper

import (
	"math"
	"strconv"
	"strings"

	"github.com/chivegauge/chivegauge/internal/policy/picker"
)

// thousand is the unit in which the share of failed runs is carried.
const thousand = 1000

// EncodeLoad returns the load in the form in which an answer carries it.
func EncodeLoad(l picker.Load) string {
	b := make([]byte, 0, 20)
	for _, n := range [...]int{l.Running, l.Waiting, l.Limit, int(math.Round(l.Failing * thousand))} {
		b = append(strconv.AppendInt(b, int64(n), 10), '/')
	}
	return string(b[:len(b)-1])
}

// DecodeLoad returns the load in s, or no load at all; a node that does not tell its share of failed runs has none.
func DecodeLoad(s string) picker.Load {
	n := [4]int{}
	for i := range n {
		field, rest, more := strings.Cut(s, "/")
		value, err := strconv.Atoi(field)
		if err != nil || value < 0 {
			return picker.Load{}
		}
		n[i] = value
		s = rest
		if !more {
			if i < 2 {
				return picker.Load{}
			}
			break
		}
	}
	return picker.Load{
		Running: n[0],
		Waiting: n[1],
		Limit:   n[2],
		Failing: min(1, float64(n[3])/thousand),
	}
}
