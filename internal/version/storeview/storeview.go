// Package storeview decides what a daemon goes on believing about the platform's store
// when the store changes under it: which zones are evacuated, which of two copies of that
// state is newer, what a response proves after the store was restored from an older copy,
// and when the daemon's own record in the directory has to be written again.
//
// The package is made for a fleet of several hundred daemons in a few zones, of which one
// per zone reads the store with a long poll, and for a store that may lose the
// records of its last seconds and give their offsets out again. Offsets alone therefore do
// not show that records were missed: a position counts only within its era, which rises
// by one with each restore. A store that sends no era stays in era 0, and nothing that
// this package does for restores takes effect.
//
// The types are pure state machines and not safe for concurrent use. Times are readings of
// a clock that goes on while the host is suspended, and greater than 0.
package storeview

import "time"

// Position is a position in the log of the operators' publications.
type Position struct {
	Era    uint64
	Offset uint64
}

// Before reports whether p precedes q.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Offset < q.Offset
}

// Verdict is what a response of the store is worth.
type Verdict uint8

// The verdicts.
const (
	Valid    Verdict = iota + 1
	Restored         // the store was restored since the position was read; read the newest records
	Outdated         // the response is of an earlier era than one that is already known
)

// JudgeRead judges a response to a read from a position, given the greatest era that is
// known when the response arrives. A read may span a restore, which its own era does not
// show if its response was prepared before; if a peer has reported the restore meanwhile,
// the response is void too.
func JudgeRead(position Position, known, response uint64) Verdict {
	switch {
	case response < position.Era:
		return Outdated
	case response > position.Era || known > position.Era:
		return Restored
	}
	return Valid
}

// JudgeNewest judges a response with the newest records.
func JudgeNewest(known, response uint64) Verdict {
	if response < known {
		return Outdated
	}
	return Valid
}

// RewriteTime is the time after a restore that operators need to write their records again.
const RewriteTime = 10 * time.Second

// AloneTime is how long after its start a daemon waits for the status of another one before
// it takes the newest version of a restored store for the newest of all. The directory may
// have lost its records too, and the others write them again within a second.
const AloneTime = 3 * time.Second

// Read describes a valid read of the store.
type Read struct {
	Era      uint64
	SinceEra time.Duration // since the era became known
	Started  time.Duration // since the daemon's start
	Members  int           // live members, this daemon not included
	// InForce is the version in force after the read, NewestOfMembers the newest that a
	// live member has in force.
	InForce, NewestOfMembers uint64
}

// MayConfirm reports whether a read may confirm the version in force. Soon after a
// restore it may not if a member has a newer version: that one was published, and may have
// withdrawn keys, but the store has lost it. After RewriteTime the store counts again,
// so that a member with a version that this daemon can't use does not block it for good.
func (r Read) MayConfirm() bool {
	switch {
	case r.Era == 0:
		return true
	case r.Members == 0 && r.Started < AloneTime:
		return false
	}
	return r.SinceEra >= RewriteTime || r.NewestOfMembers <= r.InForce
}

// Proof is the time up to which the tables in force are known to be the newest, 0 before
// the first confirmation.
type Proof struct{ latest, former time.Duration }

// Confirm records a proof and returns the latest. Earlier ones than that change nothing.
func (p *Proof) Confirm(at time.Duration) time.Duration {
	if at > p.latest {
		p.former, p.latest = p.latest, at
	}
	return p.latest
}

// Revoke takes the latest proof back and returns the one before it. It is called when a
// new era becomes known: the read that gave the latest proof may have spanned the restore.
func (p *Proof) Revoke() time.Duration {
	p.latest = p.former
	return p.latest
}

const (
	// MaxPause is the time for which a process may be paused without missing an evacuation
	// for longer than the 5 s that the platform allows.
	MaxPause = 4 * time.Second
	// ResumeTime is the time after a longer pause in which a daemon is sure to have learned
	// of an evacuation that it missed, from the store or from the statuses of others, which
	// come every 500 ms.
	ResumeTime = time.Second
)

// Unsure reports whether a process has been paused for so long that it may have missed an
// evacuation, and has not caught up yet. checked is the time of the last periodic
// check, resumed that of the first one after a longer pause, 0 if there was none, and
// confirmed the time up to which the tables are known to be the newest.
func Unsure(now, checked, resumed, confirmed time.Duration) bool {
	paused := checked > 0 && now-checked > MaxPause
	return paused || resumed > 0 && now-resumed < ResumeTime && confirmed < resumed
}

// Record tracks whether the directory holds this daemon's record. The zero value: not
// written yet.
type Record struct {
	present bool
	era     uint64 // in which the record was last known to be present
}

// WriteDue reports whether the record has to be written.
func (r *Record) WriteDue() bool { return !r.present }

// CheckDue reports whether the directory has to be read since the record may be lost: the
// store was restored after it was last known to be present.
func (r *Record) CheckDue(era uint64) bool { return r.present && r.era < era }

// Written records that the store has acknowledged a write of the record.
func (r *Record) Written(era uint64) { r.present, r.era = true, era }

// Read records whether a read of the directory in an era found the record with this
// daemon's address. It returns true if the record was lost and has to be written with a
// greater epoch. A read of an earlier era than the known one proves nothing.
func (r *Record) Read(era, known uint64, found bool) (lost bool) {
	switch {
	case era < known || !r.present:
		return false
	case found:
		r.era = era
		return false
	}
	r.present = false
	return true
}
