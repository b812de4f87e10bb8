package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a stopping daemon that takes requests which it cannot finish:
// on mvldt-mesh "mix --seed 132989654755" callers stayed, since most daemons of
// their zone were down, and 17 requests taken up to the end were cut.
func TestStoppingDaemonTakesOnlyWhatItCanFinish(t *testing.T) {
	g := NewWithT(t)
	begun := time.Now()
	stop := stopSchedule{begun: begun, grace: 6 * time.Second}
	const longest = 2500 * time.Millisecond // the longest timeout of a route
	for after := time.Duration(0); after < stop.grace; after += 50 * time.Millisecond {
		now := begun.Add(after)
		if stop.takes(now, true) {
			g.Expect(now.Add(longest)).To(BeTemporally("<", stop.end()), "taken %s after the signal", after)
		}
		g.Expect(stop.takes(now, false)).To(BeTrue(), "calls of runs that have begun are served")
	}
	g.Expect(stop.takes(begun.Add(lameDuck), true)).To(BeTrue(), "callers are served while they learn of the stop")
	g.Expect(stop.end()).To(BeTemporally("<", begun.Add(stop.grace)))
}
