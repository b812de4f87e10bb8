package backend

import (
	"hash/maphash"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxSkippedIDBytes is the number of bytes that are kept of the id of a skipped
	// response, which the server can make as long as a head.
	maxSkippedIDBytes = 64
	// recentTime is how long an id counts as sent recently, at least: longer than most
	// callers wait for a response.
	recentTime = 10 * time.Second
	// maxRecentIDs bounds the memory for the ids that were sent within recentTime to
	// about 0.6 MB for each of the two sets. Above 2000 requests per second, recentTime is
	// not reached.
	maxRecentIDs = 20_000
)

// SkipCause tells why a response was not taken for the one to the request.
type SkipCause string

// The causes, by the id of the response. Only the first one lets the exchange go on.
const (
	// SkippedEarlierRequest means that the connection has carried a request with the id.
	SkippedEarlierRequest SkipCause = "earlier-request"
	// SkippedOtherID means that the connection has carried no request with the id.
	SkippedOtherID SkipCause = "other-id"
	// SkippedNoID means that the response has no id.
	SkippedNoID SkipCause = "no-id"
	// SkippedUnclassified means that Exchange.ResponseID is nil.
	SkippedUnclassified SkipCause = "unclassified"
)

// ConnectionUse tells what the connection of a request has carried, for logs and metrics.
type ConnectionUse struct {
	// Connection is the number of the connection in this process, 0 if the request was
	// not sent.
	Connection uint64
	Carried    int           // requests that the connection carried before this one
	Idle       time.Duration // since the response to the one before, 0 for a new connection
	Repeated   bool          // the id was sent to the server within recentTime
	// Skipped holds the causes for which responses were not taken, in the order of arrival.
	// The fields below are those of the last one.
	Skipped       []SkipCause
	SkippedStatus int
	SkippedID     string // its first maxSkippedIDBytes bytes
}

var (
	lastConnection atomic.Uint64
	idSeed         = maphash.MakeSeed()
)

// hasCarried reports whether the connection has carried a request with an id.
func (c *conn) hasCarried(id string) bool {
	_, found := c.ids[maphash.String(idSeed, id)]
	return found && id != ""
}

// begin records that the connection is to carry a request with an id.
func (x *Exchanger) begin(c *conn, id string) ConnectionUse {
	now := time.Now()
	use := ConnectionUse{Connection: c.number, Carried: c.carried}
	if !c.lastUsed.IsZero() {
		use.Idle = now.Sub(c.lastUsed)
	}
	c.carried++
	if id == "" {
		return use
	}
	hash := maphash.String(idSeed, id)
	use.Repeated = x.recent.add(now, hash)
	c.ids[hash] = struct{}{}
	return use
}

// skip records a response that is not the one to the request, and returns its cause.
func (u *ConnectionUse) skip(c *conn, e *Exchange, response *http.Response) SkipCause {
	cause, id := SkippedUnclassified, ""
	if e.ResponseID != nil {
		id = e.ResponseID(response.Header)
		switch {
		case id == "":
			cause = SkippedNoID
		case id != e.ID && c.hasCarried(id):
			cause = SkippedEarlierRequest
		default:
			cause = SkippedOtherID
		}
	}
	u.Skipped = append(u.Skipped, cause)
	u.SkippedStatus, u.SkippedID = response.StatusCode, id[:min(len(id), maxSkippedIDBytes)]
	return cause
}

// recentIDs holds hashes of the ids that were sent within the last recentTime to twice
// that. Its zero value is empty.
type recentIDs struct {
	mu             sync.Mutex
	since          time.Time // when current was begun
	current, older map[uint64]struct{}
}

// add adds a hash and reports whether it was there.
func (r *recentIDs) add(now time.Time, hash uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if age := now.Sub(r.since); age >= recentTime || len(r.current) >= maxRecentIDs {
		r.current, r.older = r.older, r.current
		clear(r.current)
		if r.current == nil {
			r.current = make(map[uint64]struct{})
		}
		if age >= 2*recentTime {
			clear(r.older)
		}
		r.since = now
	}
	_, found := r.current[hash]
	if !found {
		_, found = r.older[hash]
		r.current[hash] = struct{}{}
	}
	return found
}
