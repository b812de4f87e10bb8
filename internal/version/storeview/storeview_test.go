package storeview

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

// Guards against a reader that goes on from an offset that the restored store has given
// out again, and against one that trusts a response that was prepared before the restore.
func TestResponsesOfOtherErasAreVoid(t *testing.T) {
	g := NewWithT(t)
	at := Position{Era: 1, Offset: 9}
	g.Expect(JudgeRead(at, 1, 1)).To(Equal(Valid))
	g.Expect(JudgeRead(at, 2, 2)).To(Equal(Restored))
	g.Expect(JudgeRead(at, 2, 1)).To(Equal(Restored), "a peer has reported the restore")
	g.Expect(JudgeRead(at, 1, 0)).To(Equal(Outdated))
	g.Expect(JudgeNewest(2, 1)).To(Equal(Outdated))
	g.Expect(JudgeNewest(0, 0)).To(Equal(Valid), "a store without eras")
	read := Read{Era: 1, SinceEra: time.Second, Started: time.Second, Members: 1, InForce: 5, NewestOfMembers: 7}
	confirms := func(change func(r *Read)) bool {
		r := read
		change(&r)
		return r.MayConfirm()
	}
	g.Expect(read.MayConfirm()).To(BeFalse(), "version 7 may have withdrawn a key, and the store has lost it")
	g.Expect(confirms(func(r *Read) { r.InForce = 7 })).To(BeTrue())
	g.Expect(confirms(func(r *Read) { r.SinceEra = RewriteTime })).To(BeTrue())
	g.Expect(confirms(func(r *Read) { r.Members, r.NewestOfMembers = 0, 0 })).To(BeFalse(), "the others may not be known yet")
	g.Expect(confirms(func(r *Read) { r.Members, r.NewestOfMembers, r.Started = 0, 0, AloneTime })).To(BeTrue())
	g.Expect(confirms(func(r *Read) { r.Era = 0 })).To(BeTrue(), "a store without eras")
	var p Proof
	p.Confirm(2)
	p.Confirm(5)
	p.Confirm(3)
	g.Expect(p.Revoke()).To(Equal(time.Duration(2)), "the last read may have spanned the restore")
}

// Guards against a directory that lacks a daemon after a restore, and against writes that
// the store does not need.
func TestRecordIsWrittenAgainAfterItsLoss(t *testing.T) {
	g := NewWithT(t)
	var r Record
	g.Expect(r.WriteDue()).To(BeTrue())
	r.Written(1)
	g.Expect(r.CheckDue(1)).To(BeFalse())
	g.Expect(r.CheckDue(2)).To(BeTrue())
	g.Expect(r.Read(1, 2, false)).To(BeFalse(), "the read was answered before the restore")
	g.Expect(r.Read(2, 2, true)).To(BeFalse())
	g.Expect(r.CheckDue(2)).To(BeFalse())
	g.Expect(r.Read(3, 3, false)).To(BeTrue())
	g.Expect(r.WriteDue()).To(BeTrue())
	g.Expect(r.Read(3, 3, false)).To(BeFalse(), "one greater epoch is enough")
}

// Guards against an evacuation that ends because the store has lost its record, or that
// lasts although it has ended.
func TestEvacuationsAcrossRestore(t *testing.T) {
	const now = time.Minute
	north := []string{"north"}
	for name, c := range map[string]struct {
		then   func(e *Evacuations)
		active []string // shortly after now
		late   []string // RewriteTime later
	}{
		"lost": {func(e *Evacuations) { e.Newest(now, Position{2, 3}, nil) }, north, nil},
		"lost, and told by a peer that never knew it": {func(e *Evacuations) { e.Merge(now, &wire.Evacuations{Era: 2, Offset: 3}) }, north, nil},
		"written again": {func(e *Evacuations) {
			e.Newest(now, Position{2, 3}, nil)
			e.Records(Position{2, 4}, []Change{{Zone: "north"}})
		}, north, north},
		"ended": {func(e *Evacuations) {
			e.Newest(now, Position{2, 3}, nil)
			e.Records(Position{2, 4}, []Change{{Zone: "north", Ended: true}})
		}, nil, nil},
		"ended in the newest records": {func(e *Evacuations) { e.Newest(now, Position{2, 3}, []Change{{"north", true}}) }, nil, nil},
		"ended, as a peer has seen": {func(e *Evacuations) {
			e.Newest(now, Position{2, 4}, nil)
			e.Merge(now, &wire.Evacuations{Era: 2, Offset: 4, Kept: []wire.KeptZone{{Zone: "north"}}})
		}, nil, nil},
		"kept once, whatever peers say": {func(e *Evacuations) {
			e.Newest(now, Position{2, 3}, nil)
			e.Merge(now+RewriteTime, &wire.Evacuations{Era: 2, Offset: 3, Kept: []wire.KeptZone{{Zone: "north", Left: time.Second}}})
		}, north, nil},
		"without a restore":      {func(e *Evacuations) { e.Newest(now, Position{1, 8}, nil) }, nil, nil},
		"a copy from before it":  {func(e *Evacuations) { e.Merge(now, &wire.Evacuations{Era: 0, Offset: 99}) }, north, north},
		"an offset read already": {func(e *Evacuations) { e.Records(Position{1, 7}, []Change{{"north", true}}) }, north, north},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var e Evacuations
			e.Newest(now, Position{1, 7}, []Change{{Zone: "north"}})
			c.then(&e)
			g.Expect(e.Active(now+time.Second)).To(Equal(c.active), "soon")
			g.Expect(e.Active(now+RewriteTime)).To(Equal(c.late), "later")
		})
	}
}

// Guards against copies that disagree for good, or that miss an evacuation that the store
// lists, whatever the order of reads, restores and late messages.
func TestCopiesOfEvacuationsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var log []Change
		var messages []*wire.Evacuations
		era, now := uint64(0), time.Second
		copies := make([]Evacuations, 3)
		zones := []string{"north", "south"}
		listed := func() (list []string) {
			for _, zone := range zones {
				for _, c := range slices.Backward(log) {
					if c.Zone == zone {
						if !c.Ended {
							list = append(list, zone)
						}
						break
					}
				}
			}
			return list
		}
		read := func(e *Evacuations) {
			head := Position{era, uint64(len(log))}
			if p := e.Position(); e.known && p.Era == era && p.Offset <= head.Offset && rapid.Bool().Draw(t, "next") {
				e.Records(head, log[p.Offset:])
			} else {
				var newest []Change
				for _, zone := range listed() {
					newest = append(newest, Change{Zone: zone})
				}
				e.Newest(now, head, newest)
			}
			g.Expect(e.Active(now)).To(ContainElements(listed()))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			e := &copies[rapid.IntRange(0, 2).Draw(t, "copy")]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				log = append(log, Change{rapid.SampledFrom(zones).Draw(t, "zone"), rapid.Bool().Draw(t, "ended")})
			case 1:
				log, era = slices.Clone(log[:rapid.IntRange(0, len(log)).Draw(t, "kept")]), era+1
			case 2:
				read(e)
			case 3:
				messages = append(messages, e.Copy(now))
			case 4:
				if len(messages) > 0 {
					if m := rapid.SampledFrom(messages).Draw(t, "message"); m != nil {
						e.Merge(now, m)
					}
				}
			case 5:
				now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
			}
		}
		for i := range copies {
			read(&copies[i])
		}
		now += RewriteTime
		for i := range copies {
			copies[i].Merge(now, copies[(i+1)%3].Copy(now))
			g.Expect(copies[i].Active(now)).To(Equal(listed()))
		}
	})
}
