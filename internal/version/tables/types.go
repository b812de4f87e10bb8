// Package tables holds the routes table and the pools table of one version. It
// parses, checks, formats, compares and edits them, and finds the rows that a
// request needs.
// A Tables value is immutable once built and safe for concurrent use.
package tables

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// Version is the number of accepted edits. The tables of version 0 are empty.
type Version uint64

// Importance orders requests under overload, from 0 (most important) to 7 (least
// important), the scale of the urgency parameter of RFC 9218.
type Importance uint8

// LeastImportance is the importance of the requests that are shed first.
const LeastImportance Importance = 7

// KeyDigest is the SHA-256 of a key. The key itself is never stored.
type KeyDigest [sha256.Size]byte

// DigestKey computes the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String returns the digest in lower-case hexadecimal.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:]) }

// ParseKeyDigest reads 64 hexadecimal digits.
func ParseKeyDigest(text string) (KeyDigest, bool) {
	var d KeyDigest
	if len(text) != hex.EncodedLen(len(d)) {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(text))
	return d, err == nil
}

// MarshalBinary returns the 32 bytes of the digest.
func (d KeyDigest) MarshalBinary() ([]byte, error) { return d[:], nil }

// UnmarshalBinary reads exactly 32 bytes.
func (d *KeyDigest) UnmarshalBinary(data []byte) error {
	if len(data) != len(d) {
		return fmt.Errorf("a key digest has %d bytes, not %d", len(d), len(data))
	}
	copy(d[:], data)
	return nil
}

// Key is a row of the routes table: section "[key SHA256HEX]".
type Key struct {
	Digest    KeyDigest `cbor:"1,keyasint"`
	Workspace string    `cbor:"2,keyasint"`
}

// Route is a row of the routes table: section "[route NAME]".
type Route struct {
	Name string `cbor:"1,keyasint"`
	// PathPrefix is compared by whole path segments; the longest match wins.
	PathPrefix string `cbor:"2,keyasint"`
	// Methods are upper-case; empty means all methods.
	Methods []string `cbor:"3,keyasint,omitempty"`
	// Pool names the row of the pools table that serves the route.
	Pool string `cbor:"4,keyasint"`
	// Idempotent means that running a request twice has the same effect as running
	// it once.
	Idempotent bool       `cbor:"5,keyasint,omitempty"`
	Importance Importance `cbor:"6,keyasint,omitempty"`
	// Timeout is the default and the maximum of a request's timeout.
	Timeout time.Duration `cbor:"7,keyasint"`
	// AttemptCredits is the number of extra attempts that a request and all calls
	// that result from it may use together.
	AttemptCredits int `cbor:"8,keyasint,omitempty"`
	// Open routes need no key.
	Open bool `cbor:"9,keyasint,omitempty"`
	// Workspaces lists the workspaces that may use the route; empty means all.
	Workspaces []string `cbor:"10,keyasint,omitempty"`
	// MaxBodyBytes is the maximum size of the request body.
	MaxBodyBytes int64 `cbor:"11,keyasint"`
}

// Pool is a row of the pools table: section "[pool NAME]". Backend servers join
// a pool by announcing its name.
type Pool struct {
	Name string `cbor:"1,keyasint"`
	// WarmUp is the time over which the share of requests that a new upstream gets
	// grows to its full size.
	WarmUp time.Duration `cbor:"2,keyasint,omitempty"`
	// RetryRatio is the maximum ratio of retries to first attempts.
	RetryRatio float64 `cbor:"3,keyasint,omitempty"`
}

// Workspace is a row of the pools table: section "[workspace NAME]".
type Workspace struct {
	Name string `cbor:"1,keyasint"`
	// Rate is in requests per second, for all hosts together.
	Rate float64 `cbor:"2,keyasint"`
	// Burst is in requests, for all hosts together.
	Burst int `cbor:"3,keyasint"`
}

// Server is a row of the pools table: section "[server NAME]".
type Server struct {
	Name string `cbor:"1,keyasint"`
	// Drain keeps new work away from the backend server.
	Drain bool `cbor:"2,keyasint,omitempty"`
}
