package experimenter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/chivegauge/chivegauge/internal/measure/loadgenerator"
)

const (
	recoveryBucket = 500 * time.Millisecond
	// recoveredShare is the fraction of the earlier success rate at which the service counts as recovered.
	recoveredShare = 0.95
	latencyMaxUs   = 60_000_000
	latencyDigits  = 3
	usPerMs        = 1000
)

// between returns the outcomes of requests whose intended time is in [a, b).
func between(list []loadgenerator.Outcome, a, b time.Duration) []loadgenerator.Outcome {
	var out []loadgenerator.Outcome
	for _, o := range list {
		if o.Intended >= a && o.Intended < b {
			out = append(out, o)
		}
	}
	return out
}

// ofStream returns the outcomes of one stream.
func ofStream(list []loadgenerator.Outcome, name string) []loadgenerator.Outcome {
	var out []loadgenerator.Outcome
	for _, o := range list {
		if o.Stream == name {
			out = append(out, o)
		}
	}
	return out
}

func completeCount(list []loadgenerator.Outcome) int {
	n := 0
	for _, o := range list {
		if o.Complete {
			n++
		}
	}
	return n
}

func perSecond(n int, d time.Duration) float64 {
	return float64(n) / d.Seconds()
}

// recovery returns the seconds from end until the fraction of complete responses, in buckets of 500 ms, is at least 95%
// of before, or until last if it never is.
func recovery(list []loadgenerator.Outcome, before float64, end, last time.Duration) float64 {
	for at := end; at+recoveryBucket <= last; at += recoveryBucket {
		bucket := between(list, at, at+recoveryBucket)
		if len(bucket) == 0 {
			continue
		}
		if float64(completeCount(bucket))/float64(len(bucket)) >= recoveredShare*before {
			return (at - end).Seconds()
		}
	}
	return (last - end).Seconds()
}

// quantiles returns the median and the 99th percentile of the latency of complete responses, in milliseconds.
func quantiles(list []loadgenerator.Outcome) (p50, p99 float64) {
	h := hdrhistogram.New(1, latencyMaxUs, latencyDigits)
	for _, o := range list {
		if o.Complete {
			_ = h.RecordValue(o.Latency.Microseconds())
		}
	}
	return float64(h.ValueAtQuantile(50)) / usPerMs, float64(h.ValueAtQuantile(99)) / usPerMs
}

// codes counts the outcomes by code and run state.
func codes(list []loadgenerator.Outcome) map[string]int {
	m := map[string]int{}
	for _, o := range list {
		if o.Complete {
			m["Whole"]++
			continue
		}
		m[o.Code+o.Run]++
	}
	return m
}

// refusedBySecond counts the requests without a complete response by the second of their intended time.
func refusedBySecond(list []loadgenerator.Outcome) map[int]int {
	m := map[int]int{}
	for _, o := range list {
		if !o.Complete {
			m[int(o.Intended.Seconds())]++
		}
	}
	return m
}
