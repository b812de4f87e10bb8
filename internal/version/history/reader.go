package history

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Bounds of what a reader keeps and reads.
const (
	// RecentEdits is the number of latest edit records whose ids a reader keeps to
	// reject duplicates. All readers must use the same number, since they would
	// otherwise derive different versions.
	RecentEdits = 64
	// RecentVersions is the maximum number of versions that TablesAt can return.
	RecentVersions = 64
	// scanWindow is the number of latest records in which a new reader first looks
	// for a snapshot. One is due after every 128 edits. Reading the whole stream would
	// take long: the snapshots of a week take 40 MB.
	scanWindow = 512
	// maxUndoRows is the maximum number of rows kept to restore earlier versions. If
	// each of RecentVersions edits replaced all rows, the earlier rows would not fit
	// in the 32 MB of memory of a daemon.
	maxUndoRows = 20_000
)

// VersionInfo describes a version and the edit that created it.
type VersionInfo struct {
	Version tables.Version
	// Offset is that of the record that created the version, or the as-of offset of
	// the snapshot that the reader adopted.
	Offset platform.Offset
	Digest tables.Digest
	ID     EditID
	Author string
	Note   string

	// undo restores the previous version; nil for version 0 and for the version of an
	// adopted snapshot.
	undo []tables.Change
}

// Reader derives the versions of the tables from the records of the stream.
//
// The caller reads the stream from ReadFrom and passes each batch to Apply. A reader
// that lacks records that are no longer retained scans the stream up to its end,
// adopts the newest sufficient snapshot, and goes on with the record after the
// as-of offset of the snapshot. A snapshot is sufficient if all records after its
// as-of offset are retained, that is, if the first retained record is at as-of + 1
// or before. A new reader of a long stream scans the latest records first, and all
// retained ones only if they contain no sufficient snapshot.
type Reader struct {
	tables  *tables.Tables
	version tables.Version
	// next is the offset of the first record that is not applied.
	next     platform.Offset
	recent   []EditRef
	versions []VersionInfo

	// scanning is true while the reader looks for a snapshot to adopt.
	scanning    bool
	scanNext    platform.Offset // the next record to scan
	scanFrom    platform.Offset // where the scan started
	window      platform.Offset // scanWindow, or less in tests
	candidate   *Snapshot       // the snapshot to adopt at the end of the scan
	gapReported bool

	streamStart  platform.Offset // the greatest offset of a first retained record in a batch
	streamEnd    platform.Offset // the greatest end of the stream in a batch
	hasRead      bool            // true after the first batch
	endRegressed bool            // true if the stream ended before streamEnd in the latest batch
	preferOldest bool            // see PreferOldestSnapshot
	schedule     snapshotSchedule
}

// NewReader returns a reader at version 0, before the first record. retention is
// the time for which the platform retains records; rng gives the random delays that
// keep daemons from appending snapshots at the same time.
func NewReader(retention time.Duration, rng *rand.Rand) *Reader {
	t := tables.Empty()
	return &Reader{
		tables:   t,
		versions: []VersionInfo{{Digest: t.Digest()}},
		window:   scanWindow,
		schedule: snapshotSchedule{retention: retention, rng: rng},
	}
}

// Tables returns the current tables.
func (r *Reader) Tables() *tables.Tables { return r.tables }

// Version returns the current version.
func (r *Reader) Version() tables.Version { return r.version }

// Next returns the offset of the first record that is not applied.
func (r *Reader) Next() platform.Offset { return r.next }

// ReadFrom returns the offset from which to read the next batch.
func (r *Reader) ReadFrom() platform.Offset {
	if r.scanning {
		return r.scanNext
	}
	return r.next
}

// AtEnd reports whether all records up to the end of the stream are applied, as far
// as batches have shown it. While it is false, the tables must not count as fresh.
func (r *Reader) AtEnd() bool {
	return r.hasRead && !r.scanning && !r.endRegressed && r.next >= r.streamEnd
}

// PreferOldestSnapshot makes a reader that has to adopt a snapshot choose the oldest
// sufficient one instead of the newest. TablesAt then knows more versions, but the
// reader has to apply more edits. Call it before the first batch.
func (r *Reader) PreferOldestSnapshot() { r.preferOldest = true }

// NeedsPeerSnapshot reports whether the reader lacks records and found no sufficient
// snapshot in the stream, so that it needs one from a peer (AdoptPeerSnapshot).
func (r *Reader) NeedsPeerSnapshot() bool { return r.scanning && r.gapReported }

// Apply applies the records of a batch in order and returns their effects. Records
// that are already applied are skipped.
func (r *Reader) Apply(batch platform.Batch, now time.Time) []Event {
	var events []Event
	if hadRegressed := r.endRegressed; batch.Next < r.streamEnd {
		// The response is older than a previous one, or the platform lost the stream.
		r.endRegressed = true
		if !hadRegressed {
			events = append(events, EndRegressed{Next: batch.Next, Known: r.streamEnd})
		}
	} else {
		r.endRegressed = false
	}
	r.streamStart, r.streamEnd = max(r.streamStart, batch.First), max(r.streamEnd, batch.Next)
	scanLatest := !r.hasRead && !r.preferOldest && r.streamEnd > r.next+r.window
	r.hasRead = true
	switch {
	case r.scanning:
	case scanLatest:
		r.beginScan(max(r.streamStart, r.streamEnd-r.window))
	case r.streamStart > r.next:
		r.beginScan(r.streamStart)
	}
	r.scanNext = max(r.scanNext, r.streamStart)
	for _, record := range batch.Records {
		switch expected := r.ReadFrom(); {
		case record.Offset < expected:
			continue
		case record.Offset > expected:
			return append(events, Malformed{record.Offset, errors.New("the batch skips records before this one; the read will be repeated")})
		}
		events = r.applyRecord(events, record, now)
	}
	if r.scanning && !r.endRegressed && r.scanNext >= r.streamEnd {
		events = r.finishScan(events, now)
	}
	if r.AtEnd() {
		r.schedule.observeEnd(now, r.next > 0)
	}
	return events
}

func (r *Reader) beginScan(from platform.Offset) {
	r.scanning, r.scanNext, r.scanFrom, r.candidate, r.gapReported = true, from, from, nil, false
}

func (r *Reader) applyRecord(events []Event, record platform.Record, now time.Time) []Event {
	decoded, err := Decode(record.Data)
	if s, ok := decoded.(*Snapshot); ok && s.AsOf >= record.Offset {
		err = &DecodeError{Reason: "the snapshot's as-of offset is not before its own offset"}
	}
	if r.scanning {
		r.scanNext = record.Offset + 1
		if s, ok := decoded.(*Snapshot); ok && err == nil && r.betterCandidate(s) {
			r.candidate = s
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
		return append(events, r.verifySnapshot(d, now))
	}
	return events
}

// betterCandidate reports whether the snapshot replaces the candidate.
func (r *Reader) betterCandidate(s *Snapshot) bool {
	switch {
	case r.candidate == nil:
		return true
	case r.preferOldest && r.candidate.AsOf+1 >= r.streamStart:
		return false
	}
	return s.AsOf > r.candidate.AsOf
}

// applyEdit accepts or rejects an edit. All readers must use the same rules.
func (r *Reader) applyEdit(offset platform.Offset, edit *Edit, now time.Time) Event {
	reject := func(reason RejectReason, err error) Event {
		if reason != ReasonDuplicate {
			r.addRecent(EditRef{ID: edit.ID, Offset: offset, Reason: reason})
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
	if result.Digest() != edit.ResultDigest {
		return reject(ReasonDigestMismatch, nil)
	}
	r.addVersion(VersionInfo{
		Version: r.version + 1, Offset: offset, Digest: edit.ResultDigest, ID: edit.ID,
		Author: edit.Author, Note: edit.Note, undo: r.tables.Inverse(edit.Changes),
	})
	r.tables, r.version = result, r.version+1
	r.addRecent(EditRef{ID: edit.ID, Offset: offset, Version: r.version})
	r.schedule.observeEdit(r.version, now)
	return Accepted{Offset: offset, ID: edit.ID, Version: r.version, Changes: edit.Changes, Author: edit.Author, Note: edit.Note}
}

func (r *Reader) addRecent(ref EditRef) {
	r.recent = append(r.recent, ref)
	if extra := len(r.recent) - RecentEdits; extra > 0 {
		r.recent = slices.Delete(r.recent, 0, extra)
	}
}

// addVersion appends a version and drops the oldest ones beyond RecentVersions and
// maxUndoRows.
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

// verifySnapshot compares a snapshot with the version that the reader had at the
// as-of offset. The reader has applied all records before it, so the snapshot never
// changes its state.
func (r *Reader) verifySnapshot(s *Snapshot, now time.Time) Event {
	ignored := SnapshotIgnored{Version: s.Version, AsOf: s.AsOf, Reason: IgnoredOlder}
	for _, info := range slices.Backward(r.versions) {
		if info.Offset > s.AsOf && info.Version > 0 {
			continue
		}
		ignored.Reason = IgnoredConflict
		if info.Version == s.Version && info.Digest == s.Tables.Digest() {
			ignored.Reason = IgnoredKnown
			r.schedule.observeSnapshot(s, now)
		}
		break
	}
	return ignored
}

// advances reports whether adopting the snapshot advances the reader's position in
// the stream without reverting its version.
func (r *Reader) advances(s *Snapshot) bool { return s.Version >= r.version && s.AsOf+1 > r.next }

// finishScan adopts the candidate at the end of a scan if it is sufficient. Otherwise,
// if the scan covered only the latest records, the reader goes back to the first
// retained one, to apply the records if it lacks none before them and to scan them if
// it does. If the scan covered all retained records, it reports the gap.
func (r *Reader) finishScan(events []Event, now time.Time) []Event {
	candidate := r.candidate
	r.candidate = nil
	if candidate != nil && candidate.AsOf+1 >= r.streamStart && r.advances(candidate) {
		return append(events, r.adopt(candidate, false, now))
	}
	if candidate != nil {
		events = append(events, SnapshotIgnored{Version: candidate.Version, AsOf: candidate.AsOf, Reason: IgnoredInsufficient})
	}
	if r.scanFrom > r.streamStart {
		r.beginScan(r.streamStart)
		r.scanning = r.streamStart > r.next
		return events
	}
	if r.gapReported {
		return events
	}
	r.gapReported = true
	return append(events, Gap{Next: r.next, First: r.streamStart})
}

// AdoptPeerSnapshot replaces the reader's state by the snapshot of a peer if that is
// ahead. If records after the snapshot are not retained either, NeedsPeerSnapshot stays
// true.
func (r *Reader) AdoptPeerSnapshot(s *Snapshot, now time.Time) Event {
	if !r.advances(s) {
		return SnapshotIgnored{Version: s.Version, AsOf: s.AsOf, Reason: IgnoredOlder, FromPeer: true}
	}
	return r.adopt(s, true, now)
}

func (r *Reader) adopt(s *Snapshot, fromPeer bool, now time.Time) Event {
	previous := r.version
	r.tables, r.version, r.next = s.Tables, s.Version, s.AsOf+1
	r.streamEnd = max(r.streamEnd, r.next)
	r.recent = slices.Clone(s.Recent)
	r.versions = []VersionInfo{{Version: s.Version, Offset: s.AsOf, Digest: s.Tables.Digest()}}
	if r.next >= r.streamStart {
		r.scanning, r.candidate, r.gapReported = false, nil, false
	}
	if !fromPeer {
		r.schedule.observeSnapshot(s, now)
	}
	return SnapshotAdopted{Version: s.Version, AsOf: s.AsOf, Previous: previous, FromPeer: fromPeer}
}

// Edit returns the result of an edit, if it is among the latest RecentEdits ones.
func (r *Reader) Edit(id EditID) (EditRef, bool) {
	for _, ref := range r.recent {
		if ref.ID == id {
			return ref, true
		}
	}
	return EditRef{}, false
}

// editOfVersion returns the edit that created a version, if it is still known.
func (r *Reader) editOfVersion(version tables.Version) (EditID, bool) {
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

// Versions returns the versions that TablesAt can return, oldest first.
func (r *Reader) Versions() []VersionInfo { return slices.Clone(r.versions) }

// TablesAt returns the tables of a version, if it is among those of Versions.
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
			break // unreachable: the earlier tables were valid when they were current
		}
		t = earlier
	}
	return nil, false
}

// Snapshot returns the state of the reader, to append to the stream or to send to a
// peer; ok is false if the reader has not applied any record.
func (r *Reader) Snapshot() (s *Snapshot, ok bool) {
	if r.next == 0 {
		return nil, false
	}
	return &Snapshot{Version: r.version, Tables: r.tables, AsOf: r.next - 1, Recent: slices.Clone(r.recent), CurrentAt: r.schedule.lastAtEnd}, true
}
