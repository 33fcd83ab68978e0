package timekeeper

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

var (
	startTime   = time.Now().Round(0)
	startUptime = uptime()
)

// Now returns the wall time at the start of the process plus the time since then, including time in which the machine
// was suspended.
func Now() time.Time {
	return startTime.Add(uptime() - startUptime)
}

// Sleep sleeps for the duration, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func uptime() time.Duration {
	ts := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}
