package transporter

import (
	"math"
	"strconv"
	"strings"

	"github.com/chivegauge/chivegauge/internal/policy/picker"
)

// failureRateUnit is the factor by which the failure rate is multiplied when it is encoded as an integer.
const failureRateUnit = 1000

// EncodeLoad returns the load as running/waiting/limit/failure rate, the last in thousandths.
func EncodeLoad(l picker.Load) string {
	b := make([]byte, 0, 20)
	for _, n := range [...]int{l.Running, l.Waiting, l.Limit, int(math.Round(l.FailureRate * failureRateUnit))} {
		b = append(strconv.AppendInt(b, int64(n), 10), '/')
	}
	return string(b[:len(b)-1])
}

// DecodeLoad parses a load, and returns the zero load if s is invalid; the failure rate is optional and defaults to 0.
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
		Running:     n[0],
		Waiting:     n[1],
		Limit:       n[2],
		FailureRate: min(1, float64(n[3])/failureRateUnit),
	}
}
