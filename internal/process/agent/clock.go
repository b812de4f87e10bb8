package agent

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxReadingAge is how long a reading of the boot clock is extrapolated with the
	// monotonic clock, which needs no system call.
	maxReadingAge = 20 * time.Millisecond
	// maxClockDivergence is how far wall clock and monotonic clock may diverge since
	// the last reading. A greater difference means that the host was suspended or
	// that the wall clock was stepped, and the boot clock is read again.
	maxClockDivergence = 5 * time.Millisecond
)

// bootClock tells the time since the host booted. Unlike the monotonic clock it
// also counts time for which the host was suspended, in which new tables may have
// been published. It is safe for concurrent use.
type bootClock struct {
	last atomic.Pointer[reading]
	// boot and instant replace the system's clocks in tests; both are nil otherwise.
	boot    func() time.Duration
	instant func() instant
}

// instant is one moment on the two clocks that are read without a system call.
type instant struct {
	wall      time.Time
	monotonic time.Duration
}

// reading is the value of the boot clock at an instant.
type reading struct {
	boot time.Duration
	at   instant
}

// now returns the time since the host booted.
func (c *bootClock) now() time.Duration {
	readBoot, readInstant := readBootClock, currentInstant
	if c.boot != nil {
		readBoot, readInstant = c.boot, c.instant
	}
	now := readInstant()
	if last := c.last.Load(); last != nil {
		elapsed := now.monotonic - last.at.monotonic
		divergence := now.wall.Sub(last.at.wall) - elapsed
		if elapsed >= 0 && elapsed < maxReadingAge && divergence.Abs() < maxClockDivergence {
			return last.boot + elapsed
		}
	}
	boot := readBoot()
	c.last.Store(&reading{boot: boot, at: now})
	return boot
}

var processStart = time.Now()

func currentInstant() instant {
	now := time.Now()
	return instant{wall: now.Round(0), monotonic: now.Sub(processStart)}
}

// readBootClock reads the boot clock with a system call.
func readBootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano()) // the system has no boot clock
	}
	return time.Duration(t.Nano())
}
