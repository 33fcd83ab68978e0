package timekeeper

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

var (
	startWall = time.Now().Round(0)
	startBoot = boot()
)

// Now returns the wall time of the process start plus the time since, suspension included.
func Now() time.Time {
	return startWall.Add(boot() - startBoot)
}

// Rest waits for the time, or until the context ends.
func Rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func boot() time.Duration {
	ts := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}
