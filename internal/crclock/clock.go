// Package crclock reads a clock that goes on while the machine is suspended.
package crclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspended time included.
// Leases are measured by it: Go's monotonic clock stands still in a suspended
// machine, so that a lease would look valid long after others replaced it.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("crclock: every Linux since 2.6.39 has CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
