// Package ticket holds the tickets that make a non-idempotent request run at
// most once: their text form and the table of their home.
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
	macBytes      = 16 // HMAC-SHA-256, truncated
	secretBytes   = 32
	maxNameBytes  = 255 // a name's length is one byte
	fixedBytes    = 1 + 1 + 8 + 1 + 8 + 8
	// MaxTextBytes bounds the text form of a ticket: the base64 form of two
	// names of the maximal length, the fixed parts and the code.
	MaxTextBytes = (fixedBytes + 2*maxNameBytes + macBytes + 2) / 3 * 4
)

// Owner is one incarnation of a daemon.
type Owner struct {
	Home        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Key identifies a ticket in the whole system.
type Key struct {
	Owner  Owner  `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// Ticket is an idempotency key that its home issued in advance.
type Ticket struct {
	Owner     Owner
	Workspace string
	Number    uint64
	End       time.Time // whole milliseconds
	code      [macBytes]byte
}

// Key returns the identity of the ticket.
func (t Ticket) Key() Key { return Key{Owner: t.Owner, Number: t.Number} }

// appendBody appends the parts of the ticket that the code covers. All
// integers have a fixed width, so that a ticket has exactly one text form.
func (t Ticket) appendBody(b []byte) []byte {
	b = append(b, formatVersion, byte(len(t.Owner.Home)))
	b = append(b, t.Owner.Home...)
	b = binary.BigEndian.AppendUint64(b, t.Owner.Incarnation)
	b = append(b, byte(len(t.Workspace)))
	b = append(b, t.Workspace...)
	b = binary.BigEndian.AppendUint64(b, t.Number)
	return binary.BigEndian.AppendUint64(b, uint64(t.End.UnixMilli()))
}

// String returns the text form for the Idempotency-Key header.
func (t Ticket) String() string {
	b := make([]byte, 0, fixedBytes+len(t.Owner.Home)+len(t.Workspace)+macBytes)
	return base64.RawURLEncoding.EncodeToString(append(t.appendBody(b), t.code[:]...))
}

// strictText rejects non-zero trailing bits, which would give one ticket several texts.
var strictText = base64.RawURLEncoding.Strict()

// Parse reads the text form, with or without the double quotes of a
// structured field. It needs no secret and does not check the code, so that
// any daemon can forward the request to Ticket.Owner.
func Parse(text string) (Ticket, error) {
	if len(text) >= 2 && text[0] == '"' && text[len(text)-1] == '"' {
		text = text[1 : len(text)-1]
	}
	// The base64 decoder skips line breaks.
	if len(text) > MaxTextBytes || strings.ContainsAny(text, "\r\n") {
		return Ticket{}, &Error{Reason: ReasonMalformed}
	}
	b, err := strictText.DecodeString(text)
	if err != nil {
		return Ticket{}, &Error{Reason: ReasonMalformed}
	}
	r := reader{rest: b}
	version := r.byte()
	var t Ticket
	t.Owner.Home = r.name()
	t.Owner.Incarnation = r.uint64()
	t.Workspace = r.name()
	t.Number = r.uint64()
	end := r.uint64()
	copy(t.code[:], r.take(macBytes))
	if r.failed || len(r.rest) != 0 || version != formatVersion || end > maxUnixMilli {
		return Ticket{}, &Error{Reason: ReasonMalformed}
	}
	t.End = time.UnixMilli(int64(end))
	return t, nil
}

// maxUnixMilli is the end of the year 9999; later times cannot be compared safely.
const maxUnixMilli = 253402300799999

// reader cuts fields from a byte slice and remembers whether it was too short.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) take(n int) []byte {
	if r.failed || len(r.rest) < n {
		r.failed = true
		return nil
	}
	part := r.rest[:n]
	r.rest = r.rest[n:]
	return part
}

func (r *reader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) name() string { return string(r.take(int(r.byte()))) }

func (r *reader) uint64() uint64 {
	if b := r.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// signer computes codes under one secret.
type signer struct {
	mac  hash.Hash
	body []byte
	sum  []byte
}

func newSigner(secret []byte) *signer {
	return &signer{mac: hmac.New(sha256.New, secret)}
}

func (s *signer) code(t Ticket) (code [macBytes]byte) {
	s.body = t.appendBody(s.body[:0])
	s.mac.Reset()
	s.mac.Write(s.body)
	s.sum = s.mac.Sum(s.sum[:0])
	copy(code[:], s.sum)
	return code
}

func (s *signer) verify(t Ticket) bool {
	want := s.code(t)
	return hmac.Equal(want[:], t.code[:])
}

// Fingerprint identifies the content of a request, to tell a repeat from
// another request with the same ticket or idempotency key.
type Fingerprint [sha256.Size]byte

// FingerprintOf covers method, target, content type and body. Other header
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

// ResponseSize returns the bytes that a kept response is charged with.
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
