package history

import (
	"math/rand/v2"
	"time"

	"tarragonshore.example/tarragonshore/internal/version/tables"
)

const (
	// maxSoon bounds the random delay of a snapshot that is due at once. With
	// 1,100 daemons, 10 minutes leave about half a second between two of them,
	// enough for the others to see the first one.
	maxSoon = 10 * time.Minute
	// maxEditsPerSnapshot bounds the edits that a new reader replays, to keep
	// its start within about a second.
	maxEditsPerSnapshot = 128
)

// repostPlan decides when to append a snapshot, so that the stream always
// holds a sufficient one for new readers.
type repostPlan struct {
	retention time.Duration
	rng       *rand.Rand
	// due is zero until the end of the stream was reached once.
	due time.Time
	// seen is false until the stream was found to hold a snapshot.
	seen    bool
	version tables.Version // of the newest snapshot seen
	lastEnd time.Time      // when the end of the stream was last reached
}

// soon returns a random delay of at most a sixteenth of the retention time.
func (p *repostPlan) soon() time.Duration { return p.spread(min(p.retention/16, maxSoon)) }

func (p *repostPlan) spread(limit time.Duration) time.Duration {
	return time.Duration(p.rng.Int64N(int64(max(limit, 1))))
}

// renewed plans for a quarter to 0.45 of the retention time after the
// snapshot was current, so that there is time to try again before half of it
// has passed. A clock that is ahead cannot move the plan beyond that time
// after the snapshot was seen.
func (p *repostPlan) renewed(s *Snapshot, now time.Time) {
	current := now
	if s.Current.Before(now) {
		current = s.Current
	}
	p.seen, p.version = true, max(p.version, s.Version)
	due := current.Add(p.retention/4 + p.spread(p.retention/5))
	if due.Before(now) {
		due = now.Add(p.soon())
	}
	if due.After(p.due) {
		p.due = due
	}
}

func (p *repostPlan) atEnd(now time.Time, records bool) {
	p.lastEnd = now
	if !p.seen && records && p.due.IsZero() {
		p.due = now.Add(p.soon())
	}
}

func (p *repostPlan) edited(version tables.Version, now time.Time) {
	if p.seen && version > p.version && (version-p.version)%maxEditsPerSnapshot == 0 {
		if due := now.Add(p.soon()); due.Before(p.due) {
			p.due = due
		}
	}
}

// RepostAt returns the time at which to call Repost; ok is false if nothing is
// planned.
func (r *Reader) RepostAt() (at time.Time, ok bool) {
	return r.repost.due, !r.repost.due.IsZero() && r.AtEnd()
}

// Repost returns the record of a snapshot if it is time to append one. Whether
// the append succeeded is seen in the stream: if no snapshot shows up there,
// RepostAt gives a later time for the next try.
func (r *Reader) Repost(now time.Time) (record []byte, ok bool) {
	if at, planned := r.RepostAt(); !planned || now.Before(at) {
		return nil, false
	}
	s, ok := r.Snapshot()
	if !ok {
		return nil, false
	}
	record, err := s.Encode()
	if err != nil {
		return nil, false // not reachable: tables.MaxCanonicalBytes leaves room
	}
	r.repost.due = now.Add(r.repost.soon() + time.Second)
	return record, true
}
