// Package boottime reads the clock that decisions use: it is not set like the
// time of day, and unlike Go's monotonic clock it counts the time in which the
// machine was suspended.
package boottime

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary origin. Tests replace it.
type Clock func() time.Duration

// Now reads CLOCK_BOOTTIME.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for an unknown clock; Linux has it since 2.6.39.
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(ts.Nano())
}

// Sleep waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
