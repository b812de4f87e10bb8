package membership

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// All datagrams have one form, a CBOR map with integer keys in which a kind uses
// the fields that it needs. Unknown keys are ignored, so that fields can be added.
// A datagram tells its sender's name, incarnation and sequence, and the digest of
// the sender's view; probes and answers also tell its Status and the freshest
// Report that it has. All but Sync carry as much pending news as fits.
// There is no authentication: the peer port must be closed to other networks.

// MaxDatagramBytes bounds a datagram, so that it is not fragmented on usual links.
const MaxDatagramBytes = 1200

// Kind numbers the datagrams. Numbers are never reused.
type Kind uint8

// The datagrams.
const (
	KindProbe         Kind = iota + 1 // asks for a ProbeAck with the same number
	KindProbeAck                      // answers a Probe or an IndirectProbe
	KindIndirectProbe                 // asks to probe Target and to pass its answer on
	KindGossip                        // carries only updates
	KindSyncRequest                   // asks for the records of all differing buckets
	KindSync                          // answers a SyncRequest or a Fetch
	KindFetch                         // asks for the records of Names
)

// datagram is any datagram. Its first fields tell about the sender.
type datagram struct {
	Kind        Kind         `cbor:"1,keyasint"`
	Number      uint64       `cbor:"2,keyasint,omitempty"`
	From        string       `cbor:"3,keyasint"`
	Incarnation uint64       `cbor:"4,keyasint"`
	Round       uint32       `cbor:"5,keyasint,omitempty"`
	Change      uint32       `cbor:"6,keyasint,omitempty"`
	Digest      uint32       `cbor:"7,keyasint,omitempty"`
	Status      *wireStatus  `cbor:"8,keyasint,omitempty"`
	Freshest    *wireStatus  `cbor:"9,keyasint,omitempty"`
	Target      *target      `cbor:"10,keyasint,omitempty"`
	About       string       `cbor:"11,keyasint,omitempty"` // in an answer that was passed on: the member that answered
	Buckets     []byte       `cbor:"12,keyasint,omitempty"`
	Names       []string     `cbor:"13,keyasint,omitempty"`
	More        bool         `cbor:"14,keyasint,omitempty"` // Sync: other records were left out
	Last        bool         `cbor:"15,keyasint,omitempty"` // Sync: last datagram of the answer
	Updates     []wireUpdate `cbor:"16,keyasint,omitempty"`
	Full        bool         `cbor:"17,keyasint,omitempty"` // SyncRequest: with addresses and details
}

// target is the member that an indirect probe is for.
type target struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Peer netip.AddrPort
}

// wireStatus is a Status with its age; Member is empty for the sender's own.
type wireStatus struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Offset  uint64
	AgeMS   uint32
	Member  string
}

// wireUpdate is one piece of news about a member. Fixed and Detail are left out
// when the receiver is likely to have them; it can fetch them.
type wireUpdate struct {
	Name        string      `cbor:"1,keyasint"`
	Incarnation uint64      `cbor:"2,keyasint"`
	Round       uint32      `cbor:"3,keyasint,omitempty"`
	Change      uint32      `cbor:"4,keyasint,omitempty"`
	State       State       `cbor:"5,keyasint"`
	Fixed       *wireFixed  `cbor:"6,keyasint,omitempty"`
	Detail      *wireDetail `cbor:"7,keyasint,omitempty"`
}

type wireFixed struct {
	_                           struct{} `cbor:",toarray"`
	Zone, Region                string
	Peer, Caller, Server, Admin netip.AddrPort
}

type wireDetail struct {
	_         struct{} `cbor:",toarray"`
	Servers   []wireServer
	Leaving   bool
	Successor string
	Origins   []wireOrigin
}

// wireOrigin is an Origin.
type wireOrigin struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
}

type wireServer struct {
	_          struct{} `cbor:",toarray"`
	Name, Pool string
	Slots      uint32
	State      ServerState
	ReadyForMS uint32
}

// DecodeError tells that a datagram or an announcement is not valid.
type DecodeError struct {
	Reason string
	Err    error
}

// Error names the reason and the remedy.
func (e *DecodeError) Error() string {
	text := "invalid membership data: " + e.Reason
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text + "; remedy: run the same release on all hosts and keep other senders off the peer port"
}

// Unwrap returns the codec's error.
func (e *DecodeError) Unwrap() error { return e.Err }

// Limits for decoding; a datagram comes from another host and is not trusted.
const (
	maxNestedLevels  = 8
	maxArrayElements = 256
	maxMapPairs      = 64
	maxNameBytes     = 255
)

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// decode parses and checks a datagram.
func decode(data []byte) (*datagram, error) {
	if len(data) > MaxDatagramBytes {
		return nil, &DecodeError{Reason: fmt.Sprintf("%d bytes are over the limit of %d", len(data), MaxDatagramBytes)}
	}
	d := &datagram{}
	if err := decMode.Unmarshal(data, d); err != nil {
		return nil, &DecodeError{Reason: "CBOR", Err: err}
	}
	if d.Kind < KindProbe || d.Kind > KindFetch {
		return nil, &DecodeError{Reason: fmt.Sprintf("unknown kind %d", d.Kind)}
	}
	if !validName(d.From) || d.Incarnation == 0 {
		return nil, &DecodeError{Reason: "no sender"}
	}
	if d.Kind == KindSyncRequest && len(d.Buckets) != bucketCount*bucketBytes {
		return nil, &DecodeError{Reason: fmt.Sprintf("%d bytes of bucket digests", len(d.Buckets))}
	}
	if d.Kind == KindIndirectProbe && (d.Target == nil || !d.Target.Peer.IsValid()) {
		return nil, &DecodeError{Reason: "indirect probe without target"}
	}
	for i := range d.Updates {
		if err := d.Updates[i].check(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// check refuses updates that would put the view into an impossible state.
func (u *wireUpdate) check() error {
	switch {
	case !validName(u.Name) || u.Incarnation == 0:
		return &DecodeError{Reason: "update without a member"}
	case u.State < StateAlive || u.State > StateLeft:
		return &DecodeError{Reason: fmt.Sprintf("update with state %d", u.State)}
	case u.Fixed != nil && !u.Fixed.Peer.IsValid():
		return &DecodeError{Reason: "update without a peer address"}
	case u.Fixed != nil && u.Detail == nil:
		return &DecodeError{Reason: "update with addresses but without detail"}
	}
	return nil
}

// maxRecordBytes bounds an encoded record, so that it fits into a datagram
// together with the sender's data and an accusation.
const maxRecordBytes = 800

// RecordError tells that a record cannot be used as this member's own.
type RecordError struct{ Reason string }

// Error names the reason and the remedy.
func (e *RecordError) Error() string {
	return "invalid member record: " + e.Reason + "; remedy: correct the member's settings, or announce fewer backend servers or shorter names"
}

func checkRecord(m *Member) error {
	if !validName(m.Name) || m.Incarnation == 0 || !m.Peer.IsValid() {
		return &RecordError{Reason: "it needs a name of at most 255 bytes, an incarnation and a peer address"}
	}
	if n := len(mustMarshal(toWire(m, time.Time{}, true, true))); n > maxRecordBytes {
		return &RecordError{Reason: fmt.Sprintf("%d bytes are over the limit of %d", n, maxRecordBytes)}
	}
	return nil
}

func mustMarshal(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the types of this file can always be encoded
	}
	return data
}

func (u *wireUpdate) sequence() Sequence { return NewSequence(u.Round, u.Change) }

// toWire returns the update for a member, with the parts asked for.
func toWire(m *Member, now time.Time, fixed, detail bool) wireUpdate {
	u := wireUpdate{
		Name: m.Name, Incarnation: m.Incarnation, State: m.State,
		Round: m.Sequence.Round(), Change: m.Sequence.Change(),
	}
	if fixed && m.Peer.IsValid() {
		u.Fixed = &wireFixed{
			Zone: m.Zone, Region: m.Region,
			Peer: m.Peer, Caller: m.Caller, Server: m.Fixed.Server, Admin: m.Admin,
		}
	}
	if detail || u.Fixed != nil {
		u.Detail = &wireDetail{Leaving: m.Leaving, Successor: m.Successor, Servers: make([]wireServer, len(m.Servers))}
		for _, origin := range m.Origins {
			u.Detail.Origins = append(u.Detail.Origins, wireOrigin{Name: origin.Name, Incarnation: origin.Incarnation})
		}
		for i, s := range m.Servers {
			u.Detail.Servers[i] = wireServer{Name: s.Name, Pool: s.Pool, Slots: s.Slots, State: s.State}
			if !s.ReadySince.IsZero() {
				u.Detail.Servers[i].ReadyForMS = ageMS(now.Sub(s.ReadySince))
			}
		}
	}
	return u
}

// maxAge is the greatest age that is told; what is older is as good as never.
const maxAge = 24 * time.Hour

// ageMS rounds an age up to whole milliseconds.
func ageMS(age time.Duration) uint32 {
	age = min(max(age, 0), maxAge)
	return uint32((age + time.Millisecond - 1) / time.Millisecond)
}

func (f *wireFixed) fixed() Fixed {
	return Fixed{Zone: f.Zone, Region: f.Region, Peer: f.Peer, Caller: f.Caller, Server: f.Server, Admin: f.Admin}
}

func (d *wireDetail) detail(now time.Time) Detail {
	out := Detail{Leaving: d.Leaving, Successor: d.Successor}
	for _, origin := range d.Origins {
		out.Origins = append(out.Origins, Origin{Name: origin.Name, Incarnation: origin.Incarnation})
	}
	if len(d.Servers) > 0 {
		out.Servers = make([]Server, len(d.Servers))
	}
	for i, s := range d.Servers {
		out.Servers[i] = Server{Name: s.Name, Pool: s.Pool, Slots: s.Slots, State: s.State}
		if s.State == ServerReady {
			out.Servers[i].ReadySince = now.Add(-time.Duration(s.ReadyForMS) * time.Millisecond)
		}
	}
	return out
}

// announcement is a record on the members stream. The id tells whether an append
// whose answer was lost took effect.
type announcement struct {
	ID     []byte     `cbor:"1,keyasint"`
	Update wireUpdate `cbor:"2,keyasint"`
}

// EncodeAnnouncement returns the form of a record for the members stream.
func EncodeAnnouncement(id [16]byte, r Record, now time.Time) []byte {
	m := Member{Record: r, State: StateAlive}
	if r.Left {
		m.State = StateLeft
	}
	return mustMarshal(announcement{ID: id[:], Update: toWire(&m, now, true, true)})
}

// DecodeAnnouncement parses a record of the members stream.
func DecodeAnnouncement(data []byte, now time.Time) (id [16]byte, r Record, err error) {
	var a announcement
	if err := decMode.Unmarshal(data, &a); err != nil {
		return id, r, &DecodeError{Reason: "announcement", Err: err}
	}
	u := &a.Update
	if err := u.check(); err != nil {
		return id, r, err
	}
	if len(a.ID) != len(id) || u.Fixed == nil {
		return id, r, &DecodeError{Reason: "announcement without id or addresses"}
	}
	copy(id[:], a.ID)
	return id, Record{
		Name: u.Name, Incarnation: u.Incarnation, Sequence: u.sequence(),
		Fixed: u.Fixed.fixed(), Detail: u.Detail.detail(now), Left: u.State == StateLeft,
	}, nil
}
