package timekeeper

import (
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

func boot() time.Duration {
	ts := unix.Timespec{}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}
