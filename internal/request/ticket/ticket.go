// Package ticket implements tickets: idempotency keys that a daemon issues in
// advance, so that a non-idempotent request runs at most once. It has the text
// form of a ticket and the idempotency table of the owner, which is the daemon
// that decides about a ticket: the one that issued it, or the successor to
// which that one handed its table over.
//
// The types are pure state machines: time and random bytes are parameters.
// They are not safe for concurrent use.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"strings"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

// Lifetime is the time for which a ticket may be used after it was issued.
const Lifetime = 5 * time.Minute

const (
	formatVersion = 1
	macBytes      = 16 // HMAC-SHA-256, truncated to 128 bits
	secretBytes   = 32
	maxNameBytes  = 255 // the length of a name is encoded in one byte
	// fixedBytes is the size of the signed part without the two names: version,
	// length of the issuer's name, incarnation, length of the workspace's name,
	// number and expiry.
	fixedBytes = 1 + 1 + 8 + 1 + 8 + 8
	// MaxTextBytes bounds the text form of a ticket: the base64 encoding of the
	// fixed part, two names of the maximal length and the MAC.
	MaxTextBytes = (fixedBytes + 2*maxNameBytes + macBytes + 2) / 3 * 4
)

// DaemonID identifies one incarnation of a daemon, as the issuer or owner of tickets.
type DaemonID struct {
	Member      string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Key identifies a ticket across all daemons.
type Key struct {
	Issuer DaemonID `cbor:"1,keyasint"`
	Number uint64   `cbor:"2,keyasint"` // counts the tickets of the issuer
}

// Ticket is an idempotency key that the daemon Issuer issued in advance.
type Ticket struct {
	Issuer    DaemonID
	Workspace string
	Number    uint64
	Expiry    time.Time // in whole milliseconds
	mac       [macBytes]byte
}

// Key returns the identity of the ticket.
func (t Ticket) Key() Key { return Key{Issuer: t.Issuer, Number: t.Number} }

// appendSignedPart appends the signed part of the ticket, which the MAC covers. All
// integers have a fixed width, so that a ticket has exactly one text form.
func (t Ticket) appendSignedPart(b []byte) []byte {
	b = append(b, formatVersion, byte(len(t.Issuer.Member)))
	b = append(b, t.Issuer.Member...)
	b = binary.BigEndian.AppendUint64(b, t.Issuer.Incarnation)
	b = append(b, byte(len(t.Workspace)))
	b = append(b, t.Workspace...)
	b = binary.BigEndian.AppendUint64(b, t.Number)
	return binary.BigEndian.AppendUint64(b, uint64(t.Expiry.UnixMilli()))
}

// String returns the text form for the Idempotency-Key header.
func (t Ticket) String() string {
	b := make([]byte, 0, fixedBytes+len(t.Issuer.Member)+len(t.Workspace)+macBytes)
	return base64.RawURLEncoding.EncodeToString(append(t.appendSignedPart(b), t.mac[:]...))
}

// strictBase64 rejects non-zero trailing bits, which would give one ticket several
// text forms.
var strictBase64 = base64.RawURLEncoding.Strict()

// Parse decodes the text form, with or without the double quotes of a
// structured field. It does not verify the MAC, so that a daemon without the
// secret can forward the request to Ticket.Issuer. Table.Begin verifies it.
func Parse(text string) (Ticket, error) {
	if len(text) >= 2 && text[0] == '"' && text[len(text)-1] == '"' {
		text = text[1 : len(text)-1]
	}
	// The base64 decoder ignores line breaks, so they are rejected here.
	if len(text) > MaxTextBytes || strings.ContainsAny(text, "\r\n") {
		return Ticket{}, &Error{Reason: ReasonMalformed}
	}
	b, err := strictBase64.DecodeString(text)
	if err != nil {
		return Ticket{}, &Error{Reason: ReasonMalformed}
	}
	r := fieldReader{rest: b}
	version := r.byte()
	var t Ticket
	t.Issuer.Member = r.name()
	t.Issuer.Incarnation = r.uint64()
	t.Workspace = r.name()
	t.Number = r.uint64()
	expiry := r.uint64()
	copy(t.mac[:], r.take(macBytes))
	if r.failed || len(r.rest) != 0 || version != formatVersion || expiry > maxUnixMilli {
		return Ticket{}, &Error{Reason: ReasonMalformed}
	}
	t.Expiry = time.UnixMilli(int64(expiry))
	return t, nil
}

// maxUnixMilli is the end of the year 9999. Later times are rejected because they
// cannot be compared safely.
const maxUnixMilli = 253402300799999

// fieldReader decodes fields from a byte slice. failed is set once the slice was too
// short for a field; all later fields are then zero.
type fieldReader struct {
	rest   []byte
	failed bool
}

func (r *fieldReader) take(n int) []byte {
	if r.failed || len(r.rest) < n {
		r.failed = true
		return nil
	}
	part := r.rest[:n]
	r.rest = r.rest[n:]
	return part
}

func (r *fieldReader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *fieldReader) name() string { return string(r.take(int(r.byte()))) }

func (r *fieldReader) uint64() uint64 {
	if b := r.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// signer computes and verifies MACs with one secret. It reuses its buffers.
type signer struct {
	hasher     hash.Hash
	signedPart []byte
	sum        []byte
}

func newSigner(secret []byte) *signer {
	return &signer{hasher: hmac.New(sha256.New, secret)}
}

func (s *signer) mac(t Ticket) (mac [macBytes]byte) {
	s.signedPart = t.appendSignedPart(s.signedPart[:0])
	s.hasher.Reset()
	s.hasher.Write(s.signedPart)
	s.sum = s.hasher.Sum(s.sum[:0])
	copy(mac[:], s.sum)
	return mac
}

func (s *signer) verify(t Ticket) bool {
	want := s.mac(t)
	return hmac.Equal(want[:], t.mac[:])
}

// Fingerprint is a hash of a request's content. It distinguishes a repeat of a
// request from another request with the same ticket or idempotency key.
type Fingerprint [sha256.Size]byte

// FingerprintOf hashes method, target, content type and body. Other header
// fields may differ between repeats (dates, trace ids).
func FingerprintOf(request *wire.Request) (f Fingerprint) {
	h := sha256.New()
	var size [8]byte
	add := func(part string) {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	add(request.Method)
	add(request.Target)
	contentType := ""
	for _, field := range request.Header {
		if strings.EqualFold(field.Name, "Content-Type") {
			contentType = field.Value
		}
	}
	add(contentType)
	h.Write(request.Body)
	h.Sum(f[:0])
	return f
}

// ResponseSize returns the number of bytes that a stored response counts against
// the memory limit.
func ResponseSize(response *wire.Response) int {
	if response == nil {
		return 0
	}
	const perField, perResponse = 32, 64 // slice and string headers
	size := perResponse + len(response.Body)
	for _, field := range response.Header {
		size += perField + len(field.Name) + len(field.Value)
	}
	return size
}
