package agent

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/process/rateshare"
)

// Guards against a daemon that does not notice that it lacks a member, and against
// requests for lists while the members' views differ only since someone has just started.
func TestLackedMembersAreAskedFor(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	at := func(after time.Duration) time.Time { return now.Add(after) }
	f, other := newFleet("a-0", "a", 1, rateshare.Tolerance{}), newFleet("a-1", "a", 1, rateshare.Tolerance{})
	hear := func(at time.Time, number uint64) {
		for n := range 3 {
			other.applyStatus(at, zoneStatus("a", n, number))
		}
		f.applyStatus(at, zoneStatus("a", 0, number))
		status := zoneStatus("a", 1, number)
		status.Members = other.membersDigest(at)
		f.applyStatus(at, status)
	}
	asked := ""
	for n := range uint64(6) {
		step := time.Duration(n) * statusInterval
		hear(at(step), 1+n)
		asked = f.memberToAsk(at(step))
		g.Expect(asked != "").To(Equal(step == membersSyncDelay || step == membersSyncDelay+membersAskInterval), "after %s", step)
	}
	g.Expect(f.memberToAsk(at(shareHoldTime+3*time.Second))).To(BeEmpty(), "the other daemon has ended")
	g.Expect(other.liveMembers(now)).To(HaveLen(3))
	now = at(10 * time.Second)
	hear(now, 10)
	for _, m := range other.liveMembers(now) {
		f.addListed(now, DirectoryEntry{Member: m.Name, Peer: m.Address, Zone: m.Zone})
	}
	f.applyStatus(now, zoneStatus("a", 2, 10))
	g.Expect(f.membersDigest(now)).To(Equal(other.membersDigest(now)))
	g.Expect(f.memberToAsk(at(3 * time.Second))).To(BeEmpty())
}

// Guards against statuses that go to the former address of a member for ever: a listed
// address counts once the member is silent at the one that its status gave.
func TestListedAddressReplacesThatOfASilentMember(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	f := newFleet("a-0", "a", 1, rateshare.Tolerance{})
	f.applyStatus(now, zoneStatus("a", 1, 1))
	moved := DirectoryEntry{Member: "a-1", Peer: "moved", Zone: "a"}
	g.Expect(f.addListed(now.Add(statusTimeout), moved)).To(BeFalse())
	g.Expect(f.addListed(now.Add(statusTimeout+1), moved)).To(BeTrue())
	g.Expect(f.zoneNeighbours()).To(Equal([]string{"moved"}))
}

// Guards against a directory that is read too seldom to notice late writes and starts, and
// against reads by all daemons instead of one of each availability zone.
func TestDirectoryIsReadWhenItMayHaveChanged(t *testing.T) {
	start := time.Unix(1000, 0)
	read := start.Add(time.Second)
	for _, c := range []struct {
		name     string
		readAt   time.Time
		after    time.Duration // since the last read
		reads    bool
		expected bool
	}{
		{"not read since the record was written", time.Time{}, 0, false, true},
		{"not a reader", read, time.Hour, false, false},
		{"before late writes have ended", read, lateWriteTime - time.Second - 1, true, false},
		{"after late writes have ended", read, lateWriteTime - time.Second, true, true},
		{"read after late writes have ended", start.Add(lateWriteTime), directoryInterval - 1, true, false},
		{"at intervals", start.Add(lateWriteTime), directoryInterval, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := directorySync{listed: true, readAt: c.readAt}
			now := c.readAt.Add(c.after)
			NewWithT(t).Expect(s.readDue(now, start, c.reads)).To(Equal(c.expected))
		})
	}
}

// Guards against a daemon that stays out of the directory since its host's clock was stepped
// back, by up to a day, before its start.
func TestEpochOvertakesAnEarlierClock(t *testing.T) {
	g := NewWithT(t)
	s, raised := directorySync{}, uint64(0)
	for raised < uint64((24 * time.Hour).Milliseconds()) {
		raised += s.epochStep()
		s.fencedWrites++
	}
	g.Expect(time.Duration(s.fencedWrites)*directoryRetryDelay).To(BeNumerically("<", 10*time.Second), fmt.Sprint(raised))
}
