package daemon

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Limits of a workspace before and after an edit, and durations of the runs.
const (
	highRate, highBurst = 80, 40
	lowRate, lowBurst   = highRate / 4, highBurst / 4
	editDeadline        = 8 * time.Second
	timeAfterEdit       = 25 * time.Second
)

// limitFaults are the faults during which the platform accepts an edit.
var limitFaults = append(append([]controlFault{}, rateFaults[:11]...),
	platformSlow, appendsLost, conflictingEdits, isolated("a daemon cut off from all", true, true, true))

// since returns the admissions at or after a time.
func (t *rateOutcomes) since(from time.Time) *rateOutcomes {
	later := &rateOutcomes{}
	for _, at := range t.admitted {
		if !at.Before(from) {
			later.admitted = append(later.admitted, at)
		}
	}
	return later
}

// limitEdit edits the limits 1 s after a fault is injected, under load. It returns
// the admissions and when the edit was accepted.
func limitEdit(f *fleet, fault controlFault, seed uint64, from, to [2]int) (*rateOutcomes, time.Time) {
	f.publish(f.testTables(controlFleet, from[0], from[1]))
	time.Sleep(5 * time.Second)
	load := newRateLoad(f, seed)
	ctx, cancel := context.WithCancel(context.Background())
	load.wg.Go(func() { load.steady(ctx, 2*highRate) })
	time.Sleep(3 * time.Second)
	fault.inject(f)
	time.Sleep(time.Second)
	f.publish(f.testTables(controlFleet, to[0], to[1]))
	accepted := time.Now()
	time.Sleep(timeAfterEdit)
	if fault.heal != nil {
		fault.heal(f)
		time.Sleep(10 * time.Second)
	}
	cancel()
	load.wg.Wait()
	return load.rateOutcomes, accepted
}

var _ = Describe("an edit of a rate during a fault", func() {
	high, low := [2]int{highRate, highBurst}, [2]int{lowRate, lowBurst}

	// Guards against a keeper or a holder that still applies the old limits when the
	// edit has to be in force.
	It("lowers what is admitted within 8 s", func() {
		inFleets(controlFleet, len(limitFaults), func(cell int, f *fleet, g *WithT) {
			name := limitFaults[cell].name
			t, accepted := limitEdit(f, limitFaults[cell], uint64(cell+1), high, low)
			later := t.since(accepted.Add(editDeadline))
			fmt.Printf("limits: lowered, %s: %d admitted after 8 s\n", name, len(later.admitted))
			g.Expect(t.excess(highRate, highBurst)).To(BeNumerically("<=", 0), name)
			g.Expect(later.excess(lowRate, lowBurst)).To(BeNumerically("<=", 0), name)
		})
	})

	// Guards against tokens by the new limits before the edit, and against a
	// workspace that stays at its old rate.
	It("raises what is admitted within 8 s", func() {
		inFleets(controlFleet, len(limitFaults), func(cell int, f *fleet, g *WithT) {
			name := limitFaults[cell].name
			t, accepted := limitEdit(f, limitFaults[cell], uint64(cell+1), low, high)
			later := t.since(accepted.Add(editDeadline))
			fmt.Printf("limits: raised, %s: %d admitted after 8 s\n", name, len(later.admitted))
			g.Expect(t.excess(highRate, highBurst)).To(BeNumerically("<=", 0), name)
			before := &rateOutcomes{}
			for _, at := range t.admitted {
				if at.Before(accepted) {
					before.admitted = append(before.admitted, at)
				}
			}
			g.Expect(before.excess(lowRate, lowBurst)).To(BeNumerically("<=", 0), name)
			perSecond := float64(len(later.admitted)) / (timeAfterEdit - editDeadline).Seconds()
			g.Expect(perSecond).To(BeNumerically(">", lowRate), name)
		})
	})
})
