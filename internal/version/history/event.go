package history

import (
	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Event is one of the event types of this package. Each describes the effect that a
// record, or the lack of one, had on a Reader.
type Event interface{ event() }

// Accepted means that an edit created a new version, which is now the current one.
type Accepted struct {
	Offset  platform.Offset
	ID      EditID
	Version tables.Version
	Changes []tables.Change
	Author  string
	Note    string
}

// RejectReason says why an edit was rejected.
type RejectReason string

// The reasons to reject an edit.
const (
	// ReasonBaseNotCurrent: another edit was accepted first.
	ReasonBaseNotCurrent RejectReason = "base-not-current"
	// ReasonDuplicate: the stream holds an earlier record with the same id, which
	// alone decides about the edit.
	ReasonDuplicate RejectReason = "duplicate-id"
	// ReasonInvalidResult: the tables with the edit applied do not pass the checks.
	ReasonInvalidResult RejectReason = "invalid-result"
	// ReasonDigestMismatch: the tables with the edit applied do not have the digest
	// that the editor computed.
	ReasonDigestMismatch RejectReason = "digest-mismatch"
)

// Rejected means that an edit has no effect.
type Rejected struct {
	Offset  platform.Offset
	ID      EditID
	Reason  RejectReason
	Base    tables.Version
	Current tables.Version // the current version when the edit was rejected
	Err     error          // the errors in the resulting tables, for ReasonInvalidResult
}

// SnapshotAdopted means that the reader replaced its state by a snapshot from the
// stream or from a peer.
type SnapshotAdopted struct {
	Version tables.Version
	AsOf    platform.Offset
	// Previous is the reader's version before; it equals Version if the snapshot
	// changed only the reader's position in the stream.
	Previous tables.Version
	FromPeer bool
}

// IgnoreReason says why a snapshot was ignored.
type IgnoreReason string

// The reasons to ignore a snapshot.
const (
	// IgnoredKnown: the snapshot agrees with the versions that the reader derived.
	IgnoredKnown IgnoreReason = "known"
	// IgnoredOlder: the snapshot is older than the versions that the reader keeps.
	IgnoredOlder IgnoreReason = "older"
	// IgnoredInsufficient: records between the as-of offset of the snapshot and the
	// first retained record are lost.
	IgnoredInsufficient IgnoreReason = "insufficient"
	// IgnoredConflict: the snapshot contradicts the records that the reader has
	// applied, so there is a bug in the snapshot's author or in this reader. The
	// reader keeps its state.
	IgnoredConflict IgnoreReason = "conflict"
)

// SnapshotIgnored means that a snapshot did not change the state of the reader.
type SnapshotIgnored struct {
	Version  tables.Version
	AsOf     platform.Offset
	Reason   IgnoreReason
	FromPeer bool
}

// Gap means that records which the reader needs are no longer retained, and that
// the stream holds no sufficient snapshot (see Reader), so that the reader needs a
// snapshot from a peer. Until then the reader keeps its tables, which must not count
// as fresh.
type Gap struct {
	Next  platform.Offset // of the first missing record
	First platform.Offset // of the first retained record
}

// EndRegressed means that the platform reported an earlier end of the stream than before.
// AtEnd of the reader is false until a response reaches the end known before; if
// none ever does, the platform lost the stream. The event occurs once until then.
type EndRegressed struct {
	Next  platform.Offset // the end of the stream in the response
	Known platform.Offset // the end of the stream known before
}

// Malformed means that a record could not be decoded and has no effect, or that it
// cannot be applied yet because the batch skips records before it.
type Malformed struct {
	Offset platform.Offset
	Err    error
}

func (Accepted) event()        {}
func (Rejected) event()        {}
func (SnapshotAdopted) event() {}
func (SnapshotIgnored) event() {}
func (Gap) event()             {}
func (EndRegressed) event()    {}
func (Malformed) event()       {}
