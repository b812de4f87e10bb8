package membership

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// All datagrams have the same format: a CBOR map with integer keys, of which each kind
// uses those that it needs. Unknown keys are ignored, so that fields can be added. Each
// datagram carries its sender's name, incarnation and sequence, and the digest of the
// sender's view. Probes and their answers also carry the sender's TablesStatus and the
// TablesReport with the latest read that it has received. Probes, their answers,
// indirect probes and gossip carry as many queued updates as fit. There is no
// authentication: the peer port must not be reachable from other networks.

// MaxDatagramBytes bounds a datagram, so that common links do not fragment it.
const MaxDatagramBytes = 1200

// Kind is the type of a datagram. Numbers are never reused.
type Kind uint8

const (
	KindProbe         Kind = iota + 1 // requests a ProbeAck with the same number
	KindProbeAck                      // answers a Probe or an IndirectProbe
	KindIndirectProbe                 // requests a probe of Target and the forwarding of its answer
	KindGossip                        // only carries updates
	KindSyncRequest                   // requests the records of all buckets whose digests differ
	KindSync                          // answers a SyncRequest or a Fetch
	KindFetch                         // requests the records of Names
)

// datagram is a datagram of any kind. From, Incarnation, Round, Change, Digest and
// Status describe the sender; Round and Change are the parts of its Sequence. Freshest
// is the TablesReport with the latest read that the sender has received.
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
	AnsweredBy  string       `cbor:"11,keyasint,omitempty"` // in a forwarded ProbeAck: the member that answered the probe
	Buckets     []byte       `cbor:"12,keyasint,omitempty"`
	Names       []string     `cbor:"13,keyasint,omitempty"`
	Truncated   bool         `cbor:"14,keyasint,omitempty"` // Sync: the answer does not contain all requested records
	Last        bool         `cbor:"15,keyasint,omitempty"` // Sync: this is the last datagram of the answer
	Updates     []wireUpdate `cbor:"16,keyasint,omitempty"`
	Full        bool         `cbor:"17,keyasint,omitempty"` // SyncRequest: the records should include StaticInfo and MutableInfo
}

// target is the member that the receiver of an IndirectProbe should probe.
type target struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Peer netip.AddrPort
}

// wireStatus is an encoded TablesStatus or TablesReport. AgeMS is the time since the
// read. Member is empty for the sender's own status.
type wireStatus struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Offset  uint64
	AgeMS   uint32
	Member  string
}

// wireUpdate is an update about one member. StaticInfo and MutableInfo are omitted if the
// receiver is likely to have them; otherwise it can fetch them.
type wireUpdate struct {
	Name        string           `cbor:"1,keyasint"`
	Incarnation uint64           `cbor:"2,keyasint"`
	Round       uint32           `cbor:"3,keyasint,omitempty"`
	Change      uint32           `cbor:"4,keyasint,omitempty"`
	State       State            `cbor:"5,keyasint"`
	StaticInfo  *wireStaticInfo  `cbor:"6,keyasint,omitempty"`
	MutableInfo *wireMutableInfo `cbor:"7,keyasint,omitempty"`
}

type wireStaticInfo struct {
	_                           struct{} `cbor:",toarray"`
	Zone, Region                string
	Peer, Caller, Server, Admin netip.AddrPort
}

type wireMutableInfo struct {
	_         struct{} `cbor:",toarray"`
	Servers   []wireServer
	Leaving   bool
	Successor string
	Issuers   []wireTicketIssuer
}

type wireTicketIssuer struct {
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

// DecodeError is returned for a datagram or an announcement that is not valid.
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

// Limits for decoding. Datagrams come from other hosts and are not trusted.
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
		return nil, &DecodeError{Reason: "no valid sender name and incarnation"}
	}
	if d.Kind == KindSyncRequest && len(d.Buckets) != bucketCount*bucketBytes {
		return nil, &DecodeError{Reason: fmt.Sprintf("bucket digests have the wrong length of %d bytes", len(d.Buckets))}
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

// check rejects updates that would put the view into an invalid state.
func (u *wireUpdate) check() error {
	switch {
	case !validName(u.Name) || u.Incarnation == 0:
		return &DecodeError{Reason: "update without a valid member name and incarnation"}
	case u.State < StateAlive || u.State > StateLeft:
		return &DecodeError{Reason: fmt.Sprintf("update with unknown state %d", u.State)}
	case u.StaticInfo != nil && !u.StaticInfo.Peer.IsValid():
		return &DecodeError{Reason: "update without a peer address"}
	case u.StaticInfo != nil && u.MutableInfo == nil:
		return &DecodeError{Reason: "update with addresses but without detail"}
	}
	return nil
}

// maxRecordBytes bounds an encoded record, so that it fits into a datagram together
// with the header and the update that tells the receiver that it is suspect or dead.
const maxRecordBytes = 800

// RecordError is returned for a record that this member cannot publish as its own.
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

// toWire returns an update about a member, with StaticInfo and MutableInfo as requested.
func toWire(m *Member, now time.Time, withStaticInfo, withMutableInfo bool) wireUpdate {
	u := wireUpdate{
		Name: m.Name, Incarnation: m.Incarnation, State: m.State,
		Round: m.Sequence.Round(), Change: m.Sequence.Change(),
	}
	if withStaticInfo && m.Peer.IsValid() {
		u.StaticInfo = &wireStaticInfo{
			Zone: m.Zone, Region: m.Region,
			Peer: m.Peer, Caller: m.Caller, Server: m.StaticInfo.Server, Admin: m.Admin,
		}
	}
	if withMutableInfo || u.StaticInfo != nil {
		u.MutableInfo = &wireMutableInfo{Leaving: m.Leaving, Successor: m.Successor, Servers: make([]wireServer, len(m.Servers))}
		for _, issuer := range m.TicketIssuers {
			u.MutableInfo.Issuers = append(u.MutableInfo.Issuers, wireTicketIssuer{Name: issuer.Name, Incarnation: issuer.Incarnation})
		}
		for i, s := range m.Servers {
			u.MutableInfo.Servers[i] = wireServer{Name: s.Name, Pool: s.Pool, Slots: s.Slots, State: s.State}
			if !s.ReadySince.IsZero() {
				u.MutableInfo.Servers[i].ReadyForMS = ageMS(now.Sub(s.ReadySince))
			}
		}
	}
	return u
}

// maxEncodedAge caps the ages in datagrams. Greater ages make no difference to
// receivers.
const maxEncodedAge = 24 * time.Hour

// ageMS rounds an age up to whole milliseconds.
func ageMS(age time.Duration) uint32 {
	age = min(max(age, 0), maxEncodedAge)
	return uint32((age + time.Millisecond - 1) / time.Millisecond)
}

func (s *wireStaticInfo) staticInfo() StaticInfo {
	return StaticInfo{Zone: s.Zone, Region: s.Region, Peer: s.Peer, Caller: s.Caller, Server: s.Server, Admin: s.Admin}
}

func (m *wireMutableInfo) mutableInfo(now time.Time) MutableInfo {
	out := MutableInfo{Leaving: m.Leaving, Successor: m.Successor}
	for _, issuer := range m.Issuers {
		out.TicketIssuers = append(out.TicketIssuers, TicketIssuer{Name: issuer.Name, Incarnation: issuer.Incarnation})
	}
	if len(m.Servers) > 0 {
		out.Servers = make([]Server, len(m.Servers))
	}
	for i, s := range m.Servers {
		out.Servers[i] = Server{Name: s.Name, Pool: s.Pool, Slots: s.Slots, State: s.State}
		if s.State == ServerReady {
			out.Servers[i].ReadySince = now.Add(-time.Duration(s.ReadyForMS) * time.Millisecond)
		}
	}
	return out
}

// announcement is a record of the members stream. A writer whose append got no answer
// searches the stream for the ID to find out whether the append took effect.
type announcement struct {
	ID     []byte     `cbor:"1,keyasint"`
	Update wireUpdate `cbor:"2,keyasint"`
}

// EncodeAnnouncement encodes a record for the members stream.
func EncodeAnnouncement(id [16]byte, r Record, now time.Time) []byte {
	m := Member{Record: r, State: StateAlive}
	if r.Left {
		m.State = StateLeft
	}
	return mustMarshal(announcement{ID: id[:], Update: toWire(&m, now, true, true)})
}

// DecodeAnnouncement decodes and checks a record of the members stream.
func DecodeAnnouncement(data []byte, now time.Time) (id [16]byte, r Record, err error) {
	var a announcement
	if err := decMode.Unmarshal(data, &a); err != nil {
		return id, r, &DecodeError{Reason: "announcement", Err: err}
	}
	u := &a.Update
	if err := u.check(); err != nil {
		return id, r, err
	}
	if len(a.ID) != len(id) || u.StaticInfo == nil {
		return id, r, &DecodeError{Reason: "announcement without id or addresses"}
	}
	copy(id[:], a.ID)
	return id, Record{
		Name: u.Name, Incarnation: u.Incarnation, Sequence: u.sequence(),
		StaticInfo: u.StaticInfo.staticInfo(), MutableInfo: u.MutableInfo.mutableInfo(now), Left: u.State == StateLeft,
	}, nil
}
