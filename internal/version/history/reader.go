package history

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Sizes of what a reader keeps.
const (
	// RecentEdits is the number of edit records whose ids readers remember. It
	// is part of the shared rules: all readers must use the same number.
	RecentEdits = 64
	// RecentVersions is the number of versions that TablesAt can return.
	RecentVersions = 64
	// scanWindow is how far before the end of the stream a new reader looks for a
	// snapshot first. Snapshots come every 128 edits, and a week of them is 40 MB.
	scanWindow = 512
	// maxUndoRows bounds the rows kept to rebuild earlier versions, since 64
	// edits of all rows would not fit in the 32 MB of a daemon.
	maxUndoRows = 20_000
)

// VersionInfo describes how a version came about.
type VersionInfo struct {
	Version tables.Version
	// Offset is the first offset as of which the version is current.
	Offset platform.Offset
	Digest tables.Digest
	ID     EditID
	Author string
	Note   string

	undo []tables.Change // changes back to the version before; nil for the first one
}

// Reader derives the versions from the stream.
//
// The caller reads the stream from ReadFrom and gives each batch to Apply.
// A reader that lacks records (a new one, if the start of the stream is no
// longer retained) scans to the end of the stream, adopts the newest
// sufficient snapshot and then reads again from the record after its as-of
// offset. A snapshot is sufficient if all records after its as-of offset are
// retained, that is, if as-of + 1 >= first. A new reader scans the latest records
// first, and all of them only if it finds no such snapshot there.
type Reader struct {
	tables  *tables.Tables
	version tables.Version
	// next is the offset of the first record that is not part of the state.
	next     platform.Offset
	recent   []EditRef
	versions []VersionInfo

	// scanning is true while records before the retained ones are missing.
	scanning    bool
	scan        platform.Offset // the next record to look at
	scanFrom    platform.Offset // where the scan began
	window      platform.Offset // scanWindow
	best        *Snapshot       // the newest usable snapshot seen in the scan
	gapReported bool

	first  platform.Offset // the highest start of the stream seen
	end    platform.Offset // the highest end of the stream seen
	read   bool            // true after the first batch
	behind bool            // true if the latest batch ended before a known record
	oldest bool            // see ReplayAll
	repost repostPlan
}

// NewReader returns a reader at version 0, before the first record. The
// retention time is the one of the platform; rng spreads the snapshots of
// several daemons.
func NewReader(retention time.Duration, rng *rand.Rand) *Reader {
	t := tables.Empty()
	return &Reader{
		tables:   t,
		versions: []VersionInfo{{Digest: t.Digest()}},
		window:   scanWindow,
		repost:   repostPlan{retention: retention, rng: rng},
	}
}

// Tables returns the current tables.
func (r *Reader) Tables() *tables.Tables { return r.tables }

// Version returns the current version.
func (r *Reader) Version() tables.Version { return r.version }

// Next returns the offset of the first record that is not part of the state.
func (r *Reader) Next() platform.Offset { return r.next }

// ReadFrom returns the offset to read from.
func (r *Reader) ReadFrom() platform.Offset {
	if r.scanning {
		return r.scan
	}
	return r.next
}

// AtEnd reports whether the state includes every record up to the end of the
// stream that the latest batch gave. While it is false, tables must not count
// as fresh.
func (r *Reader) AtEnd() bool { return r.read && !r.scanning && !r.behind && r.next >= r.end }

// ReplayAll makes a reader that has to adopt a snapshot take the oldest
// sufficient one instead of the newest. TablesAt then knows more versions, at
// the cost of replaying more edits. Call it before the first batch.
func (r *Reader) ReplayAll() { r.oldest = true }

// NeedsPeer reports whether only a peer's snapshot can close the gap.
func (r *Reader) NeedsPeer() bool { return r.scanning && r.gapReported }

// Apply takes the records of a batch in and returns what they meant, in order.
// Records that are already part of the state have no effect.
func (r *Reader) Apply(batch platform.Batch, now time.Time) []Event {
	var events []Event
	if wasBehind := r.behind; batch.Next < r.end {
		// The answer is older than one before, or the stream was lost.
		r.behind = true
		if !wasBehind {
			events = append(events, Behind{Next: batch.Next, Known: r.end})
		}
	} else {
		r.behind = false
	}
	r.first, r.end = max(r.first, batch.First), max(r.end, batch.Next)
	skip := !r.read && !r.oldest && r.end > r.next+r.window
	r.read = true
	switch {
	case r.scanning:
	case skip:
		r.beginScan(max(r.first, r.end-r.window))
	case r.first > r.next:
		r.beginScan(r.first)
	}
	r.scan = max(r.scan, r.first)
	for _, record := range batch.Records {
		switch expected := r.ReadFrom(); {
		case record.Offset < expected:
			continue
		case record.Offset > expected:
			return append(events, Malformed{record.Offset, errors.New("the batch leaves out records before this one; the read is repeated")})
		}
		events = r.applyRecord(events, record, now)
	}
	if r.scanning && !r.behind && r.scan >= r.end {
		events = r.finishScan(events, now)
	}
	if r.AtEnd() {
		r.repost.atEnd(now, r.next > 0)
	}
	return events
}

func (r *Reader) beginScan(from platform.Offset) {
	r.scanning, r.scan, r.scanFrom, r.best, r.gapReported = true, from, from, nil, false
}

func (r *Reader) applyRecord(events []Event, record platform.Record, now time.Time) []Event {
	decoded, err := Decode(record.Data)
	if s, ok := decoded.(*Snapshot); ok && s.AsOf >= record.Offset {
		err = &DecodeError{Reason: "the as-of offset is not before the snapshot's own"}
	}
	if r.scanning {
		r.scan = record.Offset + 1
		if s, ok := decoded.(*Snapshot); ok && err == nil && r.better(s) {
			r.best = s
		}
		if err != nil {
			events = append(events, Malformed{record.Offset, err})
		}
		return events
	}
	r.next = record.Offset + 1
	if err != nil {
		return append(events, Malformed{record.Offset, err})
	}
	switch d := decoded.(type) {
	case *Edit:
		return append(events, r.applyEdit(record.Offset, d, now))
	case *Snapshot:
		return append(events, r.compareSnapshot(d, now))
	}
	return events
}

// better reports whether to adopt the snapshot rather than the best one so far.
func (r *Reader) better(s *Snapshot) bool {
	switch {
	case r.best == nil:
		return true
	case r.oldest && r.best.AsOf+1 >= r.first:
		return false
	}
	return s.AsOf > r.best.AsOf
}

// applyEdit decides about an edit by the rules that all readers share.
func (r *Reader) applyEdit(offset platform.Offset, edit *Edit, now time.Time) Event {
	reject := func(reason RejectReason, err error) Event {
		if reason != ReasonDuplicate {
			r.remember(EditRef{ID: edit.ID, Offset: offset, Reason: reason})
		}
		return Rejected{Offset: offset, ID: edit.ID, Reason: reason, Base: edit.Base, Current: r.version, Err: err}
	}
	if _, known := r.Edit(edit.ID); known {
		return reject(ReasonDuplicate, nil)
	}
	if edit.Base != r.version {
		return reject(ReasonBaseNotCurrent, nil)
	}
	result, err := r.tables.Apply(edit.Changes)
	if err != nil {
		return reject(ReasonInvalidResult, err)
	}
	if result.Digest() != edit.Result {
		return reject(ReasonDigestMismatch, nil)
	}
	r.addVersion(VersionInfo{
		Version: r.version + 1, Offset: offset, Digest: edit.Result, ID: edit.ID,
		Author: edit.Author, Note: edit.Note, undo: r.tables.Inverse(edit.Changes),
	})
	r.tables, r.version = result, r.version+1
	r.remember(EditRef{ID: edit.ID, Offset: offset, Version: r.version})
	r.repost.edited(r.version, now)
	return Accepted{Offset: offset, ID: edit.ID, Version: r.version, Changes: edit.Changes, Author: edit.Author, Note: edit.Note}
}

func (r *Reader) remember(ref EditRef) {
	r.recent = append(r.recent, ref)
	if extra := len(r.recent) - RecentEdits; extra > 0 {
		r.recent = slices.Delete(r.recent, 0, extra)
	}
}

func (r *Reader) addVersion(info VersionInfo) {
	r.versions = append(r.versions, info)
	rows, keep := 0, len(r.versions)-1
	for keep > 0 && len(r.versions)-keep < RecentVersions {
		if rows += len(r.versions[keep].undo); rows > maxUndoRows {
			break
		}
		keep--
	}
	r.versions = slices.Delete(r.versions, 0, keep)
}

// compareSnapshot checks a snapshot against the state; the reader has applied
// all records before it, so it never learns from it.
func (r *Reader) compareSnapshot(s *Snapshot, now time.Time) Event {
	ignored := SnapshotIgnored{Version: s.Version, AsOf: s.AsOf, Reason: IgnoredOlder}
	for _, info := range slices.Backward(r.versions) {
		if info.Offset > s.AsOf && info.Version > 0 {
			continue
		}
		ignored.Reason = IgnoredConflict
		if info.Version == s.Version && info.Digest == s.Tables.Digest() {
			ignored.Reason = IgnoredKnown
			r.repost.renewed(s, now)
		}
		break
	}
	return ignored
}

// usable reports whether adopting the snapshot brings the reader forward.
// Neither version nor position may go back.
func (r *Reader) usable(s *Snapshot) bool { return s.Version >= r.version && s.AsOf+1 > r.next }

func (r *Reader) finishScan(events []Event, now time.Time) []Event {
	best := r.best
	r.best = nil
	if best != nil && best.AsOf+1 >= r.first && r.usable(best) {
		return append(events, r.adopt(best, false, now))
	}
	if best != nil {
		events = append(events, SnapshotIgnored{Version: best.Version, AsOf: best.AsOf, Reason: IgnoredInsufficient})
	}
	if r.scanFrom > r.first {
		r.beginScan(r.first)
		r.scanning = r.first > r.next
		return events
	}
	if r.gapReported {
		return events
	}
	r.gapReported = true
	return append(events, Gap{Next: r.next, First: r.first})
}

// AdoptPeerSnapshot takes over the state of a peer if it is ahead of the
// reader's. If records after the snapshot are lost too, the gap remains and
// NeedsPeer stays true.
func (r *Reader) AdoptPeerSnapshot(s *Snapshot, now time.Time) Event {
	if !r.usable(s) {
		return SnapshotIgnored{Version: s.Version, AsOf: s.AsOf, Reason: IgnoredOlder, FromPeer: true}
	}
	return r.adopt(s, true, now)
}

func (r *Reader) adopt(s *Snapshot, fromPeer bool, now time.Time) Event {
	previous := r.version
	r.tables, r.version, r.next = s.Tables, s.Version, s.AsOf+1
	r.end = max(r.end, r.next)
	r.recent = slices.Clone(s.Recent)
	r.versions = []VersionInfo{{Version: s.Version, Offset: s.AsOf, Digest: s.Tables.Digest()}}
	if r.next >= r.first {
		r.scanning, r.best, r.gapReported = false, nil, false
	}
	if !fromPeer {
		r.repost.renewed(s, now)
	}
	return SnapshotAdopted{Version: s.Version, AsOf: s.AsOf, Previous: previous, FromPeer: fromPeer}
}

// Edit returns what became of an edit, if it is among the latest ones.
func (r *Reader) Edit(id EditID) (EditRef, bool) {
	for _, ref := range r.recent {
		if ref.ID == id {
			return ref, true
		}
	}
	return EditRef{}, false
}

// editOf returns the edit that made a version, if it is still known.
func (r *Reader) editOf(version tables.Version) (EditID, bool) {
	for _, ref := range r.recent {
		if ref.Version == version {
			return ref.ID, true
		}
	}
	for _, info := range r.versions {
		if info.Version == version && info.undo != nil {
			return info.ID, true
		}
	}
	return EditID{}, false
}

// Versions returns the versions that TablesAt knows, oldest first.
func (r *Reader) Versions() []VersionInfo { return slices.Clone(r.versions) }

// TablesAt returns the tables of a version, if it is among the latest ones.
func (r *Reader) TablesAt(version tables.Version) (*tables.Tables, bool) {
	t := r.tables
	for _, info := range slices.Backward(r.versions) {
		if info.Version == version {
			return t, true
		}
		if info.undo == nil {
			break
		}
		earlier, err := t.Apply(info.undo)
		if err != nil {
			break // not reachable: the earlier tables passed the checks
		}
		t = earlier
	}
	return nil, false
}

// Snapshot returns the state for a record or for a peer; ok is false if the
// reader has not taken in any record.
func (r *Reader) Snapshot() (s *Snapshot, ok bool) {
	if r.next == 0 {
		return nil, false
	}
	return &Snapshot{Version: r.version, Tables: r.tables, AsOf: r.next - 1, Recent: slices.Clone(r.recent), Current: r.repost.lastEnd}, true
}
