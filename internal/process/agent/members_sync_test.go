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
	f, other := newFleet("a-0", "a", 1, rateshare.Tolerance{}), newFleet("a-1", "a", 1, rateshare.Tolerance{})
	hear := func(number uint64) {
		for n := range 3 {
			other.applyStatus(now, zoneStatus("a", n, number))
		}
		status := zoneStatus("a", 1, number)
		status.Members = other.membersDigest(now)
		f.applyStatus(now, zoneStatus("a", 0, number))
		f.applyStatus(now, status)
	}
	for n := range uint64(6) {
		hear(1 + n)
		since := time.Duration(n) * statusInterval
		g.Expect(f.memberToAsk(now) != "").To(Equal(since == membersSyncDelay || since == membersSyncDelay+membersAskInterval), "after %s", since)
		now = now.Add(statusInterval)
	}
	g.Expect(f.memberToAsk(now.Add(shareHoldTime))).To(BeEmpty(), "the other daemon has ended")
	for _, m := range other.liveMembers(now) {
		f.addListed(now, DirectoryEntry{Member: m.Name, Peer: m.Address, Zone: m.Zone})
	}
	f.applyStatus(now, zoneStatus("a", 2, 1))
	g.Expect(f.membersDigest(now)).To(Equal(other.membersDigest(now)))
	g.Expect(f.memberToAsk(now.Add(membersAskInterval))).To(BeEmpty())
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
	due := func(readAt time.Time, after time.Duration, readsStore bool) bool {
		return (&directorySync{readAt: readAt}).readDue(readAt.Add(after), start, readsStore)
	}
	g := NewWithT(t)
	g.Expect(due(time.Time{}, 0, false)).To(BeTrue(), "not read since the record was written")
	g.Expect(due(read, time.Hour, false)).To(BeFalse(), "not the zone's reader")
	g.Expect(due(read, lateWriteTime-time.Second-1, true)).To(BeFalse(), "late writes may follow")
	g.Expect(due(read, lateWriteTime-time.Second, true)).To(BeTrue())
	g.Expect(due(start.Add(lateWriteTime), directoryInterval-1, true)).To(BeFalse(), "read after late writes")
	g.Expect(due(start.Add(lateWriteTime), directoryInterval, true)).To(BeTrue())
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
	g.Expect(time.Duration(s.fencedWrites)*directoryCheckInterval).To(BeNumerically("<", 10*time.Second), fmt.Sprint(raised))
}
