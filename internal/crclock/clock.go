// Package crclock reads a monotonic clock that includes the time during which the
// machine is suspended.
package crclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspended time. Leases
// are measured by it, because Go's monotonic clock stops while the machine is
// suspended: afterwards, a lease would appear valid although it had expired and
// been replaced long ago.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("crclock: read CLOCK_BOOTTIME, which needs Linux 2.6.39 or later: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
