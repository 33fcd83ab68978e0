package sizer

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	ticksPerSecond = 100
	// statUser and statSystem are the indexes of the CPU times, in ticks, after the command in /proc/PID/stat.
	statUser    = 11
	statSystem  = 12
	bytesPerKiB = 1024
)

// usage is the CPU time and the resident memory in bytes of a process.
type usage struct {
	cpu    time.Duration
	memory int
}

// usageOf returns the usage of a process, or an error.
func usageOf(id int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return usage{}, errors.Wrap(err, "read CPU time")
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	ticks := 0
	for _, n := range []int{statUser, statSystem} {
		v, err := strconv.Atoi(fields[n])
		if err != nil {
			return usage{}, errors.Wrap(err, "read CPU time")
		}
		ticks += v
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return usage{}, errors.Wrap(err, "read memory")
	}
	u := usage{
		cpu: time.Duration(ticks) * time.Second / ticksPerSecond,
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				return usage{}, errors.Wrap(err, "read memory")
			}
			u.memory = kb * bytesPerKiB
		}
	}
	return u, nil
}
