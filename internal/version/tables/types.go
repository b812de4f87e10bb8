// Package tables holds the routes table and the pools table of one version:
// their rows, parsing, checking, comparison and the look-ups that requests need.
// A Tables value is immutable once built and safe for concurrent use.
package tables

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Version counts accepted edits. Version 0 is the empty tables.
type Version uint64

// Importance orders requests under overload: 0 is the most important and 7
// the least, the scale of the urgency parameter of RFC 9218.
type Importance uint8

// LeastImportance is the importance that is shed first.
const LeastImportance Importance = 7

// KeyDigest is the SHA-256 of a key. The key itself is never stored.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String returns the digest in lower-case hexadecimal.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:]) }

// Route is a row of the routes table: section "[route NAME]".
type Route struct {
	Name string
	// PathPrefix is matched by whole path segments; the longest match wins.
	PathPrefix string
	// Methods are upper-case; empty means all methods.
	Methods []string
	// Pool names the row of the pools table that serves the route.
	Pool string
	// Idempotent is true if running a request twice has the effect of running it once.
	Idempotent bool
	Importance Importance
	// Timeout is the default and the upper bound of a request's time.
	Timeout time.Duration
	// Credits is the number of extra attempts in the whole tree of a request.
	Credits int
	// Open routes need no key.
	Open bool
	// Workspaces lists who may use the route; empty means all workspaces.
	Workspaces []string
	// MaxBodyBytes bounds the request body.
	MaxBodyBytes int64
}

// Pool is a row of the pools table: section "[pool NAME]". Backend servers join
// a pool by announcing its name.
type Pool struct {
	Name string
	// WarmUp is the time in which a new upstream's share grows to its full size.
	WarmUp time.Duration
	// RetryRatio bounds retries as a share of first attempts.
	RetryRatio float64
}

// Workspace is a row of the pools table: section "[workspace NAME]".
type Workspace struct {
	Name string
	// Rate is in requests per second, over all hosts together.
	Rate float64
	// Burst is in requests, over all hosts together.
	Burst int
}

// Server is a row of the pools table: section "[server NAME]".
type Server struct {
	Name string
	// Drain takes the backend server out of use for new work.
	Drain bool
}
