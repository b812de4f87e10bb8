package history

import (
	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Event is one of the event types of this package. Each says what a record,
// or the lack of one, meant to the reader.
type Event interface{ event() }

// Accepted tells that an edit made a new version, which is now current.
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
	// ReasonDuplicate: the stream holds an earlier record with the same id,
	// and that one decides.
	ReasonDuplicate RejectReason = "duplicate-id"
	// ReasonInvalidResult: the tables after the edit do not pass the checks.
	ReasonInvalidResult RejectReason = "invalid-result"
	// ReasonDigestMismatch: the result is not what the editor computed.
	ReasonDigestMismatch RejectReason = "digest-mismatch"
)

// Rejected tells that an edit has no effect.
type Rejected struct {
	Offset  platform.Offset
	ID      EditID
	Reason  RejectReason
	Base    tables.Version
	Current tables.Version
	Err     error // the faults, for ReasonInvalidResult
}

// SnapshotAdopted tells that the state was taken from a snapshot of the
// stream or of a peer.
type SnapshotAdopted struct {
	Version tables.Version
	AsOf    platform.Offset
	// Previous is the version before; equal to Version if only the position changed.
	Previous tables.Version
	FromPeer bool
}

// IgnoreReason says why a snapshot changed nothing.
type IgnoreReason string

// The reasons to ignore a snapshot.
const (
	// IgnoredKnown: it agrees with the reader's own history.
	IgnoredKnown IgnoreReason = "known"
	// IgnoredOlder: it is older than what the reader has.
	IgnoredOlder IgnoreReason = "older"
	// IgnoredInsufficient: records between it and the retained ones are lost.
	IgnoredInsufficient IgnoreReason = "insufficient"
	// IgnoredConflict: it contradicts the records that the reader has applied.
	// Some program has a fault; the reader's own history stands.
	IgnoredConflict IgnoreReason = "conflict"
)

// SnapshotIgnored tells that a snapshot changed nothing.
type SnapshotIgnored struct {
	Version  tables.Version
	AsOf     platform.Offset
	Reason   IgnoreReason
	FromPeer bool
}

// Gap tells that records are lost to this reader and that the stream holds no
// sufficient snapshot: a snapshot from a peer is needed. The tables stay as
// they are, and must not count as fresh.
type Gap struct {
	Next  platform.Offset // the first record that is missing
	First platform.Offset // the first one that is retained
}

// Behind tells that the platform answered with an earlier end of the stream
// than before. The reader is not at the end until an answer reaches the known
// records again; if that never happens, the stream was lost. It is reported
// once until then.
type Behind struct {
	Next  platform.Offset // the end in the answer
	Known platform.Offset // the end that was known
}

// Malformed tells that a record could not be read and has no effect.
type Malformed struct {
	Offset platform.Offset
	Err    error
}

func (Accepted) event()        {}
func (Rejected) event()        {}
func (SnapshotAdopted) event() {}
func (SnapshotIgnored) event() {}
func (Gap) event()             {}
func (Behind) event()          {}
func (Malformed) event()       {}
