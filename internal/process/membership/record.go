// Package membership maintains this daemon's view of all daemons: their addresses,
// their backend servers, and whether they respond. It implements a SWIM-style gossip
// protocol as a pure state machine: the inputs are events with their time, the outputs
// are typed actions. It has no goroutines, sockets, clocks, locks or logs and is not
// safe for concurrent use; package transport runs it.
//
// Failure detection: each second a member probes one other member, in a shuffled
// rotation. If no answer arrives, it asks three members for an indirect probe, and
// then marks the probed member as suspect. A suspect member that does not refute the
// suspicion within SuspicionTimeout is declared dead.
//
// Dissemination: updates about members are piggybacked on probes and their answers
// and sent in gossip datagrams to random members.
//
// Synchronization: each datagram carries a digest of the sender's view. Members whose
// digests keep differing exchange records, which recovers lost updates.
package membership

import (
	"net/netip"
	"slices"
	"time"
)

// State is this daemon's opinion of a member. Within one incarnation and refutation
// round, a greater state overrides a smaller one.
type State uint8

// A suspect member can still be used, with lower preference. StateLeft is final for
// its incarnation.
const (
	StateAlive State = iota + 1
	StateSuspect
	StateDead
	StateLeft
)

// String returns the state's name for logs.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateDead:
		return "dead"
	case StateLeft:
		return "left"
	}
	return "unknown"
}

// ServerState is the state of a backend server as its daemon announces it.
type ServerState uint8

// Only a server in ServerReady gets new requests.
const (
	ServerStarting ServerState = iota + 1
	ServerReady
	ServerDraining
	ServerDown
)

// String returns the state's name for logs.
func (s ServerState) String() string {
	switch s {
	case ServerStarting:
		return "starting"
	case ServerReady:
		return "ready"
	case ServerDraining:
		return "draining"
	case ServerDown:
		return "down"
	}
	return "unknown"
}

// Server is a backend server of a member.
type Server struct {
	Name  string
	Pool  string
	Slots uint32
	State ServerState
	// ReadySince is when the server became ready, by this daemon's clock; zero
	// unless the state is ServerReady. Datagrams carry it as an age, so that the
	// clocks of the hosts need not agree.
	ReadySince time.Time
}

// Sequence orders the records of one incarnation. Its upper 32 bits are the
// refutation round and its lower 32 bits count the changes of the record. A
// suspicion or death applies to its whole round, so a change that was in transit
// when the member died cannot make it alive again. Only the member itself starts a
// new round.
type Sequence uint64

// NewSequence combines a refutation round and a change count.
func NewSequence(round, change uint32) Sequence {
	return Sequence(round)<<32 | Sequence(change)
}

// Round returns the number of refutations so far.
func (s Sequence) Round() uint32 { return uint32(s >> 32) }

// Change returns the number of changes of the record so far.
func (s Sequence) Change() uint32 { return uint32(s) }

// MutableInfo is the part of a record that changes within an incarnation.
type MutableInfo struct {
	Servers []Server
	// Leaving is true from the start of a planned stop. A leaving member gets no
	// new requests.
	Leaving bool
	// Successor names the member that takes over the tickets at a planned stop.
	Successor string
	// TicketIssuers are the ended incarnations of members whose tickets this member has
	// taken over.
	TicketIssuers []TicketIssuer
}

// MaxTicketIssuers bounds MutableInfo.TicketIssuers, so that a record fits into a datagram.
const MaxTicketIssuers = 8

// TicketIssuer is an ended incarnation of a member that issued tickets.
type TicketIssuer struct {
	Name        string
	Incarnation uint64
}

// equal ignores Server.ReadySince, which SetSelf derives from the state.
func (m MutableInfo) equal(o MutableInfo) bool {
	return m.Leaving == o.Leaving && m.Successor == o.Successor && slices.Equal(m.TicketIssuers, o.TicketIssuers) &&
		slices.EqualFunc(m.Servers, o.Servers, func(a, b Server) bool {
			return a.Name == b.Name && a.Pool == b.Pool && a.Slots == b.Slots && a.State == b.State
		})
}

// StaticInfo is the part of a record that does not change within an incarnation.
type StaticInfo struct {
	Zone   string
	Region string
	// Peer is the address of the WebSocket listener for peer links and, with the
	// same port number, of the UDP socket for membership.
	Peer   netip.AddrPort
	Caller netip.AddrPort
	Server netip.AddrPort
	Admin  netip.AddrPort
}

// Record is the information that a member publishes about itself.
type Record struct {
	Name        string
	Incarnation uint64
	Sequence    Sequence
	StaticInfo
	MutableInfo
	// Left is true for a member that has completed a planned stop.
	Left bool
}

// Member is a record with this daemon's opinion of the member. A Member is immutable;
// each change creates a new one.
type Member struct {
	Record
	State State
	// Since is when this daemon put the member into State.
	Since time.Time
	// Unverified is true for a member that is known only from the log. Its state is
	// StateSuspect until another member or the member itself confirms it.
	Unverified bool
}

// TablesStatus describes how current a member's tables are. It changes constantly, so it is
// sent on probes and their answers and never disseminated as an update.
type TablesStatus struct {
	// Version is the version of the tables in force.
	Version uint64
	// Offset is the offset in the tables stream up to which records are applied.
	Offset uint64
	// ReadAt is the start of this daemon's last successful read of the end of the
	// log whose records have all been applied, so that Offset was the end at that
	// time. It does not advance when this daemon obtains records from another
	// member: that member's report counts as separate evidence. It is zero if there
	// was no read.
	ReadAt time.Time
}

// TablesReport is a member's TablesStatus as this daemon received it.
type TablesReport struct {
	Member string
	// Age is the time since the read, as stated in the report.
	Age time.Duration
	// RequestedAt is when this daemon sent the probe that the report answers.
	RequestedAt time.Time
	Version     uint64
	Offset      uint64
	// Direct is false if another member forwarded the report.
	Direct bool
}

// ReadAt returns a time that is certainly not after the start of the reported read,
// since it counts the transit times of the probe and its answer as age.
func (r TablesReport) ReadAt() time.Time { return r.RequestedAt.Add(-r.Age) }
