// Package history derives the versions of the tables from the records of the
// "tables" stream of the platform, and publishes edits to it. All readers of the
// stream derive the same versions. The types are pure state machines without
// goroutines, sockets, clocks, locks or logging. They are not safe for concurrent use.
package history

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// EditID is a globally unique id of an edit. The editor chooses it at random.
type EditID [16]byte

// String returns the id in hexadecimal.
func (id EditID) String() string { return hex.EncodeToString(id[:]) }

// NewEditID returns an id made of bytes from a source of random bytes.
func NewEditID(random io.Reader) (EditID, error) {
	var id EditID
	_, err := io.ReadFull(random, id[:])
	return id, err
}

// Bounds of the fields of records.
const (
	MaxAuthorBytes = 64
	MaxNoteBytes   = 1024
	// maxVersionOrOffset bounds versions and offsets, so that adding 1 cannot overflow.
	maxVersionOrOffset = 1 << 62
)

// Edit is a proposed change of the tables. It is accepted only if Base is the
// current version where its record occurs in the stream.
type Edit struct {
	Base    tables.Version  `cbor:"1,keyasint"`
	Changes []tables.Change `cbor:"2,keyasint"`
	ID      EditID          `cbor:"3,keyasint"`
	// ResultDigest is the digest of the tables with the edit applied, by which
	// readers check that they derive the same tables as the editor.
	ResultDigest tables.Digest `cbor:"4,keyasint"`
	Author       string        `cbor:"5,keyasint,omitempty"`
	Note         string        `cbor:"6,keyasint,omitempty"`
}

// Snapshot holds the state of a reader that has applied all records up to the
// offset AsOf.
type Snapshot struct {
	Version tables.Version
	Tables  *tables.Tables
	AsOf    platform.Offset
	// Recent holds the latest edits in the order of the stream. Readers need them
	// to reject a second record with the same id.
	Recent []EditRef
	// CurrentAt is the wall-clock time at which AsOf was the end of the stream, by the
	// author's clock. It is used only to schedule the next snapshot.
	CurrentAt time.Time
}

// EditRef is the part of an edit record that readers keep, with its result.
type EditRef struct {
	ID     EditID          `cbor:"1,keyasint"`
	Offset platform.Offset `cbor:"2,keyasint"`
	// Version is the version that the edit created; 0 if it was rejected.
	Version tables.Version `cbor:"3,keyasint,omitempty"`
	// Reason says why the edit was rejected; empty if it was accepted.
	Reason RejectReason `cbor:"4,keyasint,omitempty"`
}

// recordType is the type number of a record. Numbers are never reused.
type recordType uint8

const (
	typeEdit     recordType = 1
	typeSnapshot recordType = 2
)

// envelope is the outer CBOR array of a record.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Type recordType
	Body cbor.RawMessage
}

// snapshotBody is the encoded form of a Snapshot.
type snapshotBody struct {
	Version  tables.Version  `cbor:"1,keyasint"`
	Routes   []byte          `cbor:"2,keyasint"` // canonical INI
	Pools    []byte          `cbor:"3,keyasint"` // canonical INI
	Digest   tables.Digest   `cbor:"4,keyasint"`
	AsOf     platform.Offset `cbor:"5,keyasint"`
	Recent   []EditRef       `cbor:"6,keyasint,omitempty"`
	UnixTime int64           `cbor:"7,keyasint"` // seconds
}

// DecodeError means that a record is malformed. All readers skip such a record.
type DecodeError struct {
	Reason string
	Err    error
}

// Error names the reason and the remedy.
func (e *DecodeError) Error() string {
	text := "malformed record: " + e.Reason
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text + "; remedy: find out which program appended it; the record has no effect"
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// EncodeError means that an edit or snapshot does not make a valid record.
type EncodeError struct {
	Reason string
	Err    error
}

// Error names the reason and the remedy.
func (e *EncodeError) Error() string {
	return "cannot encode the record: " + e.Reason + "; remedy: split the edit or shorten its note"
}

// Unwrap returns the cause; it is platform.ErrTooLarge if the record is too large.
func (e *EncodeError) Unwrap() error { return e.Err }

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  8,
		MaxArrayElements: 4 * tables.MaxRows,
		MaxMapPairs:      64,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // unreachable: the options are constant
	}
	return mode
}

func encode(t recordType, body any) ([]byte, error) {
	inner, err := cbor.Marshal(body)
	if err != nil {
		return nil, &EncodeError{Reason: err.Error(), Err: err}
	}
	record, err := cbor.Marshal(envelope{Type: t, Body: inner})
	if err != nil {
		return nil, &EncodeError{Reason: err.Error(), Err: err}
	}
	if len(record) > platform.MaxRecordBytes {
		return nil, &EncodeError{Reason: fmt.Sprintf("%d bytes are over the limit of %d", len(record), platform.MaxRecordBytes), Err: platform.ErrTooLarge}
	}
	return record, nil
}

// Encode returns the edit as a record.
func (e *Edit) Encode() ([]byte, error) {
	if reason := e.check(); reason != "" {
		return nil, &EncodeError{Reason: reason}
	}
	return encode(typeEdit, e)
}

// check returns what is wrong with the fields of the edit, or "".
func (e *Edit) check() string {
	switch {
	case e.Base >= maxVersionOrOffset:
		return "the base version is out of range"
	case len(e.Changes) == 0:
		return "the edit has no changes"
	case len(e.Author) > MaxAuthorBytes || len(e.Note) > MaxNoteBytes:
		return fmt.Sprintf("the author is longer than %d or the note longer than %d bytes", MaxAuthorBytes, MaxNoteBytes)
	}
	return ""
}

// Encode returns the snapshot as a record.
func (s *Snapshot) Encode() ([]byte, error) {
	routes, pools := s.Tables.Format()
	return encode(typeSnapshot, snapshotBody{
		Version: s.Version, Routes: routes, Pools: pools, Digest: s.Tables.Digest(),
		AsOf: s.AsOf, Recent: s.Recent, UnixTime: s.CurrentAt.Unix(),
	})
}

// Decode returns the *Edit or the *Snapshot in a record. The error is a *DecodeError.
func Decode(record []byte) (any, error) {
	if len(record) > platform.MaxRecordBytes {
		return nil, &DecodeError{Reason: "the record exceeds the size limit"}
	}
	var e envelope
	if err := decMode.Unmarshal(record, &e); err != nil {
		return nil, &DecodeError{Reason: "the record is not an array of type and body", Err: err}
	}
	switch e.Type {
	case typeEdit:
		edit, err := decodeEdit(e.Body)
		if err != nil {
			return nil, err // a nil *Edit in the any result would not equal nil
		}
		return edit, nil
	case typeSnapshot:
		s, err := decodeSnapshot(e.Body)
		if err != nil {
			return nil, err // a nil *Snapshot in the any result would not equal nil
		}
		return s, nil
	}
	return nil, &DecodeError{Reason: fmt.Sprintf("unknown record type %d", e.Type)}
}

// DecodeSnapshot returns the snapshot in a record. The error is a *DecodeError.
func DecodeSnapshot(record []byte) (*Snapshot, error) {
	decoded, err := Decode(record)
	if err != nil {
		return nil, err
	}
	s, ok := decoded.(*Snapshot)
	if !ok {
		return nil, &DecodeError{Reason: "the record is not a snapshot"}
	}
	return s, nil
}

func decodeEdit(body []byte) (*Edit, error) {
	var edit Edit
	if err := decMode.Unmarshal(body, &edit); err != nil {
		return nil, &DecodeError{Reason: "edit", Err: err}
	}
	if reason := edit.check(); reason != "" {
		return nil, &DecodeError{Reason: reason}
	}
	return &edit, nil
}

func decodeSnapshot(body []byte) (*Snapshot, error) {
	var b snapshotBody
	if err := decMode.Unmarshal(body, &b); err != nil {
		return nil, &DecodeError{Reason: "snapshot", Err: err}
	}
	if b.Version >= maxVersionOrOffset || b.AsOf >= maxVersionOrOffset || len(b.Recent) > RecentEdits {
		return nil, &DecodeError{Reason: "version, offset or number of recent edits is out of range"}
	}
	t, err := tables.Parse(b.Routes, b.Pools)
	if err != nil {
		return nil, &DecodeError{Reason: "tables", Err: err}
	}
	if t.Digest() != b.Digest {
		return nil, &DecodeError{Reason: "digest", Err: errors.New("the tables of the snapshot do not have the digest that it states")}
	}
	return &Snapshot{Version: b.Version, Tables: t, AsOf: b.AsOf, Recent: b.Recent, CurrentAt: time.Unix(b.UnixTime, 0)}, nil
}
