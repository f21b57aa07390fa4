// Package boottime reads CLOCK_BOOTTIME, the clock with which leases, deadlines and
// staleness are measured. Unlike the time of day it is never set, and unlike Go's
// monotonic clock it includes the time during which the machine was suspended.
package boottime

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary origin. Production code uses Now; tests
// pass a simulated clock.
type Clock func() time.Duration

// Now reads CLOCK_BOOTTIME.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for an unknown clock; Linux has had this one since 2.6.39.
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(ts.Nano())
}

// Sleep waits for d or until ctx ends. Unlike Now it uses a Go timer, which does not
// count the time during which the machine is suspended.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
