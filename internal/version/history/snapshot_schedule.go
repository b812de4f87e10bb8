package history

import (
	"math/rand/v2"
	"time"

	"tarragonshore.example/tarragonshore/internal/version/tables"
)

const (
	// maxShortDelay bounds the random delay of a snapshot that is needed at once.
	// With 1,100 daemons, 10 minutes leave about half a second between two of
	// them, enough for the others to see the first snapshot and not append theirs.
	maxShortDelay = 10 * time.Minute
	// maxEditsPerSnapshot is the number of edits after which a snapshot is due, so
	// that a new reader applies the edits after it within about a second.
	maxEditsPerSnapshot = 128
)

// snapshotSchedule decides when this daemon appends a snapshot, so that the stream
// always holds a sufficient one for new readers.
type snapshotSchedule struct {
	retention time.Duration
	rng       *rand.Rand
	// due is when to append the next snapshot. It is zero until a snapshot was seen,
	// or the reader was at the end of a stream without one.
	due time.Time
	// hasSnapshot is true once a snapshot was seen in the stream.
	hasSnapshot bool
	version     tables.Version // of the newest snapshot seen
	lastAtEnd   time.Time      // when the reader was last at the end of the stream
}

// shortDelay returns a random delay of at most a sixteenth of the retention time.
func (p *snapshotSchedule) shortDelay() time.Duration {
	return p.randomDelay(min(p.retention/16, maxShortDelay))
}

func (p *snapshotSchedule) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(p.rng.Int64N(int64(max(limit, 1))))
}

// observeSnapshot schedules the next snapshot after a random time of 0.25 to 0.45 of
// the retention time since the given one was current, so that there is time for
// another attempt before half of the retention time has passed. If the clock of the
// snapshot's author is ahead, the time counts from now instead.
func (p *snapshotSchedule) observeSnapshot(s *Snapshot, now time.Time) {
	current := now
	if s.CurrentAt.Before(now) {
		current = s.CurrentAt
	}
	p.hasSnapshot, p.version = true, max(p.version, s.Version)
	due := current.Add(p.retention/4 + p.randomDelay(p.retention/5))
	if due.Before(now) {
		due = now.Add(p.shortDelay())
	}
	if due.After(p.due) {
		p.due = due
	}
}

// observeEnd records that the reader is at the end of the stream, and schedules a
// snapshot if the stream has records but no snapshot.
func (p *snapshotSchedule) observeEnd(now time.Time, hasRecords bool) {
	p.lastAtEnd = now
	if !p.hasSnapshot && hasRecords && p.due.IsZero() {
		p.due = now.Add(p.shortDelay())
	}
}

// observeEdit schedules a snapshot at every maxEditsPerSnapshot versions since the
// last one.
func (p *snapshotSchedule) observeEdit(version tables.Version, now time.Time) {
	if p.hasSnapshot && version > p.version && (version-p.version)%maxEditsPerSnapshot == 0 {
		if due := now.Add(p.shortDelay()); due.Before(p.due) {
			p.due = due
		}
	}
}

// SnapshotDueAt returns the time at which to call DueSnapshot; ok is false if no snapshot
// is scheduled or the reader is not at the end of the stream.
func (r *Reader) SnapshotDueAt() (at time.Time, ok bool) {
	return r.schedule.due, !r.schedule.due.IsZero() && r.AtEnd()
}

// DueSnapshot returns a snapshot as a record if it is time to append one. The caller does
// not report the result: if the stream shows no new snapshot, SnapshotDueAt gives a
// later time for the next attempt.
func (r *Reader) DueSnapshot(now time.Time) (record []byte, ok bool) {
	if at, planned := r.SnapshotDueAt(); !planned || now.Before(at) {
		return nil, false
	}
	s, ok := r.Snapshot()
	if !ok {
		return nil, false
	}
	record, err := s.Encode()
	if err != nil {
		return nil, false // unreachable: tables.MaxCanonicalBytes leaves room
	}
	r.schedule.due = now.Add(r.schedule.shortDelay() + time.Second)
	return record, true
}
