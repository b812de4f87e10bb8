// Package platform is a client of the platform's append-only log, which holds the
// tables, the announcements of daemons and the claims on rate groups.
package platform

import (
	"context"
	"errors"
	"time"
)

// Stream is the name of a stream of the log. Each stream has its own offsets.
type Stream string

// The streams that the system uses.
const (
	StreamTables  Stream = "tables"
	StreamMembers Stream = "members"
	StreamKeepers Stream = "keepers"
)

// Offset is the position of a record in its stream. The first record has offset 0.
type Offset uint64

// Record is one entry of a stream.
type Record struct {
	Offset Offset
	Data   []byte
}

// Batch is the result of a read.
type Batch struct {
	// First is the lowest offset that is still retained.
	First Offset
	// Next is the offset that the next appended record will get.
	Next Offset
	// Records are in offset order, without gaps, starting at the requested
	// offset or at First if that is higher.
	Records []Record
}

// Errors of a Log. Any other error has the meaning of ErrOutcomeUnknown.
var (
	// ErrRejected means that the log has not added the record and will not add it
	// later.
	ErrRejected = errors.New("the platform did not accept the request; check its address and state, then retry")
	// ErrOutcomeUnknown means that an append may have taken effect. The caller must
	// read the stream to find out.
	ErrOutcomeUnknown = errors.New("no valid response from the platform; after an append, read the stream to learn whether it took effect")
	// ErrTooLarge means that the record exceeds MaxRecordBytes.
	ErrTooLarge = errors.New("the record is too large for the platform; split the edit")
)

// MaxRecordBytes is the maximum size of a record.
const MaxRecordBytes = 1 << 20

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record to the end of a stream and returns its offset. The
	// error wraps ErrRejected if the record was certainly not added and
	// ErrOutcomeUnknown if that is not certain.
	Append(ctx context.Context, stream Stream, data []byte) (Offset, error)

	// Read returns up to limit records, starting at the given offset. If there are
	// none yet, it waits up to wait for one (long poll) and, if none arrives, returns
	// an empty batch with First and Next set.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (Batch, error)
}
