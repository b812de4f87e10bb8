package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against reusing a reading across a suspension, which the monotonic clock
// does not count: requests that arrived meanwhile are checked right after it, and
// their keys may have been withdrawn.
func TestBootClockCountsSuspensions(t *testing.T) {
	g := NewWithT(t)
	boot, wall, monotonic := time.Hour, time.Now(), time.Duration(0)
	reads := 0
	c := bootClock{
		boot:    func() time.Duration { reads++; return boot },
		instant: func() instant { return instant{wall: wall, monotonic: monotonic} },
	}
	g.Expect(c.now()).To(Equal(time.Hour))
	for range 5 { // all clocks advance together
		boot, wall, monotonic = boot+time.Millisecond, wall.Add(time.Millisecond), monotonic+time.Millisecond
		g.Expect(c.now()).To(Equal(boot))
	}
	g.Expect(reads).To(Equal(1))
	boot, wall = boot+3*time.Second, wall.Add(3*time.Second) // suspended
	g.Expect(c.now()).To(Equal(boot))
	g.Expect(reads).To(Equal(2))
	boot, wall, monotonic = boot+maxReadingAge, wall.Add(maxReadingAge), monotonic+maxReadingAge
	g.Expect(c.now()).To(Equal(boot))
	g.Expect(reads).To(Equal(3), "a reading is reused up to its maximum age only")
}
