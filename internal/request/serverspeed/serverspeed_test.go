package serverspeed

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var now = time.Unix(1000, 0)

// speedOf returns the speed of a server whose runs take 20 ms at normal speed.
func speedOf(percent int) *Speed {
	s := &Speed{}
	s.Report(now, 100)
	for range 200 {
		s.RecordRun(20 * time.Millisecond)
	}
	s.Report(now, percent)
	return s
}

// Guards against a service time that follows a change of speed only after many runs, and
// against runs at another speed that change the time at normal speed.
func TestServiceTimeFollowsTheReport(t *testing.T) {
	g := NewWithT(t)
	s := speedOf(800)
	g.Expect(s.ServiceTime(now)).To(BeNumerically("~", 160*time.Millisecond, time.Millisecond))
	for range 200 {
		s.RecordRun(160 * time.Millisecond)
	}
	s.Report(now, 50)
	g.Expect(s.ServiceTime(now)).To(BeNumerically("~", 10*time.Millisecond, time.Millisecond))
	s.Forget()
	g.Expect(s.Known()).To(BeFalse())
	g.Expect(s.ServiceTime(now)).To(BeZero())
}

// Guards against a server that stays out of use since nothing shows its recovery, and
// against faulty values.
func TestOldAndFaultyValues(t *testing.T) {
	g := NewWithT(t)
	s := speedOf(1200)
	g.Expect(s.Percent(now.Add(freshTime))).To(Equal(1200))
	g.Expect(s.Percent(now.Add(freshTime + halvingTime))).To(Equal(650))
	g.Expect(s.Percent(now.Add(10 * time.Second))).To(Equal(100))
	s.Report(now, 1<<40)
	g.Expect(s.Percent(now)).To(Equal(maxPercent))
	s.Report(now, -3)
	g.Expect(s.Percent(now)).To(Equal(minPercent))
}

// Guards against a look at the queue for each response of a server that remains slow.
func TestOnlyRisesCount(t *testing.T) {
	g := NewWithT(t)
	s := &Speed{}
	var rises []bool
	for _, percent := range []int{100, 105, 400, 410, 300, 390, 100, 120} {
		rises = append(rises, s.Report(now, percent))
	}
	g.Expect(rises).To(Equal([]bool{false, false, true, false, false, true, false, true}))
}

// Guards against returning attempts that the server can finish in time, that no other server
// could, or that cannot be moved.
func TestLateAttemptsLeaveNewestFirst(t *testing.T) {
	g := NewWithT(t)
	queue := make([]Waiting, 10)
	for i := range queue {
		queue[i] = Waiting{Arrived: now.Add(time.Duration(i) * time.Millisecond), Objective: now.Add(250 * time.Millisecond), Movable: true}
	}
	g.Expect(speedOf(100).Late(now, queue, 5)).To(BeEmpty())
	// At 100 ms and five slots, those at positions 1 to 7 end within 240 ms.
	g.Expect(speedOf(500).Late(now, queue, 5)).To(Equal([]int{9, 8, 7}))
	queue[9].Movable = false
	queue[8].Objective = now.Add(10 * time.Millisecond)
	queue[7].Objective = time.Time{}
	g.Expect(speedOf(500).Late(now, queue, 5)).To(BeEmpty())
	// An urgent attempt ahead, of an earlier arrival, is looked at after the newer ones.
	queue = []Waiting{{now, now.Add(150 * time.Millisecond), true}, {now.Add(time.Millisecond), now.Add(150 * time.Millisecond), true}}
	g.Expect(speedOf(500).Late(now, queue, 2)).To(Equal([]int{1}))
}
