package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/version/catalog"
	"tarragonshore.example/tarragonshore/internal/version/storeview"
)

// Offset is a position in the log of the operators' publications.
type Offset uint64

// ErrHistoryLost means that the store has dropped records at the requested offset;
// the newest state has to be read instead.
var ErrHistoryLost = errors.New("the store no longer holds these records; read the newest state")

// ErrFenced means that a write to the directory was rejected, since the store has seen
// one for the same member with a greater epoch.
var ErrFenced = errors.New("the store has seen a newer write for this member; write with a greater epoch")

// Publication is the newest published version of the tables.
type Publication struct {
	// Content is nil if nothing, or nothing readable, was published.
	Content *catalog.Content
	// Evacuations holds the records of evacuations, in order.
	Evacuations []storeview.Change
	// Next is the offset at which to read later publications.
	Next Offset
	// Era is that of the response, 0 if the store states none. It rises with each restore
	// of the store from an older copy, after which offsets are given out again.
	Era uint64
}

// DirectoryEntry is the record of a daemon in the directory.
type DirectoryEntry struct {
	Member string
	Peer   string // "IP:port" of its peer port
	Zone   string
}

// ServerRecord is what the store keeps of a host's backend server. The zero value: nothing is
// known of it.
type ServerRecord struct {
	Server string
	// Started is as in Heartbeat.
	Started int64
	// Leaving is true if this start of the server has announced that it is draining, or has
	// deregistered.
	Leaving bool
	// Era is the era of the store for which the record was written. In a later one, the
	// store may have lost a newer record.
	Era uint64
}

// Store gives access to the operators' publications, to the directory of daemons and to
// the records of the hosts' backend servers.
// Every call may be retried; an error leaves the outcome of a write unknown.
type Store interface {
	// Newest reads the newest published version.
	Newest(ctx context.Context) (Publication, error)
	// Next waits up to wait for publications at or after an offset and returns the
	// newest of them, or no content if there was none. The error wraps
	// ErrHistoryLost if the store has dropped the records at the offset.
	Next(ctx context.Context, from Offset, wait time.Duration) (Publication, error)
	// Daemons reads the directory of daemons. The era is that of the response.
	Daemons(ctx context.Context) (list []DirectoryEntry, era uint64, err error)
	// Register adds this daemon to the directory or replaces its entry. The error wraps
	// ErrFenced if the store has seen a write for the member with a greater epoch. A write
	// that is repeated with its epoch is executed at most once, and the store executes
	// none late once it has executed one with a greater epoch.
	Register(ctx context.Context, entry DirectoryEntry, epoch uint64) (era uint64, err error)
	// Unregister removes a member from the directory. The epoch is as for Register.
	Unregister(ctx context.Context, member string, epoch uint64) error
	// ReadServer reads the record of a member's backend server, the zero value if there is
	// none. The era is that of the response.
	ReadServer(ctx context.Context, member string) (record ServerRecord, era uint64, err error)
	// WriteServer replaces the record of a member's backend server. The epoch is as for
	// Register.
	WriteServer(ctx context.Context, member string, record ServerRecord, epoch uint64) (era uint64, err error)
}

// CallerFields holds the header fields of a caller's request that are meant for the
// system.
type CallerFields struct {
	// RequestID is the caller's id of the request.
	RequestID string
	// Deadline is how long the caller waits for the response, 0 if not stated.
	Deadline time.Duration
	Key      string
}

// ServerFields holds the header fields that the system adds to a request for the
// backend server.
type ServerFields struct {
	RequestID string
	Remaining time.Duration
	Server    string // id of the backend server that is to run the request
	Workspace string // "" on open routes
	Origin    string // service on the host where the request entered the system
}

// ServerResponseFields holds the header fields of a response that are meant for the system.
type ServerResponseFields struct {
	// Stamped is true if the response carries a backend server's stamp. A response
	// without it is not delivered to the caller.
	Stamped bool
	// NotExecuted is true if the backend server states that it did not run the request.
	NotExecuted bool
	// Load is the load that the backend server reports; nil: it reports none.
	Load *ServerLoad
	// OtherServer is true if it states that the request is for another server.
	OtherServer bool
}

// ServerLoad is the load of a backend server as it reports it itself.
type ServerLoad struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes at this moment, in percent of the normal time; 0: the
	// server does not report it.
	Slowdown int
}

// HealthFields holds what a backend server reports on its health path.
type HealthFields struct {
	Server string // id of the server
	// WarmUp is for how much longer the server is cold.
	WarmUp time.Duration
}

// Protocol reads and writes the header fields of the messages that callers and backend
// servers exchange with the system.
type Protocol interface {
	// ReadCaller reads the system's fields of a request and removes them from its
	// header.
	ReadCaller(r *http.Request) (CallerFields, *problem.Problem)
	// ParentID returns the id of the request whose run made a call, derived from the
	// call's id, or "". It is a hint: the result is used only if a run of that request
	// is in progress.
	ParentID(requestID string) string
	// WriteRefusal responds to a request with a refusal.
	WriteRefusal(w http.ResponseWriter, requestID string, refusal *problem.Problem)
	// ServerHeader returns the header fields for the backend server.
	ServerHeader(fields ServerFields) []wire.HeaderField
	// Matches reports whether a response belongs to a request.
	Matches(requestID string, status int, header http.Header) bool
	// ResponseID returns the id of the request that a response states, or "".
	ResponseID(header http.Header) string
	// Stamp returns the backend server's stamp of a response, or "".
	Stamp(header []wire.HeaderField) string
	// ReadResponse reads the system's fields of a backend server's response.
	ReadResponse(response *backend.Response) ServerResponseFields
	// ReadHealth reads a response of the health path. ok is false if the server does not
	// report that it is healthy, and for how long it is cold.
	ReadHealth(status int, header http.Header) (fields HealthFields, ok bool)
}

// State is the state that a backend server reports in its heartbeats.
type State uint8

// The states that a backend server reports.
const (
	StateReady State = iota + 1
	StateDraining
)

// Heartbeat is a heartbeat of a backend server.
type Heartbeat struct {
	Server  string
	Service string
	Address string
	State   State
	Slots   int
	// WarmUp is how much longer the server is slow after its start.
	WarmUp time.Duration
	// Sequence increases with each heartbeat since the server's start.
	Sequence int64
	// Started is the server's start time in Unix milliseconds, 0 if unknown. It
	// distinguishes two starts with the same id.
	Started int64
}
