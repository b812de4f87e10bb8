// Package membership keeps this daemon's view of all daemons: who they are, which
// backend servers they have, and whether they answer. It is a pure state machine:
// the inputs are events with their time, the outputs are typed actions. It has no
// goroutines, sockets, clocks, locks or logs and is not safe for concurrent use;
// package transport runs it.
//
// Each second a member probes one other member in a shuffled rotation, asks three
// members for an indirect probe if no answer comes, and then suspects it. A suspect
// member has SuspicionTime to refute. News travels on probes, on their answers and
// on extra datagrams to random members; digests on the answers find what got lost.
package membership

import (
	"net/netip"
	"slices"
	"time"
)

// State is what a member is believed to be. Greater states win within one
// incarnation and refutation round.
type State uint8

// The states. A suspect member is still usable, with lower preference. StateLeft is
// final for its incarnation.
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

// The states of a backend server. Only ServerReady gets new work.
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
	// ReadySince is on this daemon's clock. It is zero unless the state is
	// ServerReady. It travels as an age, so clocks need not agree.
	ReadySince time.Time
}

// Sequence orders the records of one incarnation. Its upper 32 bits are the
// refutation round and its lower 32 bits count the changes of the record. A
// suspicion or death covers its whole round, so a change that was on its way
// when the member died cannot revive it; only the member itself starts a round.
type Sequence uint64

// NewSequence joins a round and a change count.
func NewSequence(round, change uint32) Sequence {
	return Sequence(round)<<32 | Sequence(change)
}

// Round returns the number of refutations so far.
func (s Sequence) Round() uint32 { return uint32(s >> 32) }

// Change returns the number of changes of the record so far.
func (s Sequence) Change() uint32 { return uint32(s) }

// Detail is the part of a record that changes within an incarnation.
type Detail struct {
	Servers []Server
	// Leaving is true from the start of a planned stop: no new work.
	Leaving bool
	// Successor names the member that takes over the tickets at a planned stop.
	Successor string
	// Origins are the ended incarnations whose tickets this member serves.
	Origins []Origin
}

// MaxOrigins bounds Detail.Origins, so that a record fits into a datagram.
const MaxOrigins = 8

// Origin is an ended incarnation of a member.
type Origin struct {
	Name        string
	Incarnation uint64
}

// equal compares two details; when a server became ready is no change of its own.
func (d Detail) equal(o Detail) bool {
	return d.Leaving == o.Leaving && d.Successor == o.Successor && slices.Equal(d.Origins, o.Origins) &&
		slices.EqualFunc(d.Servers, o.Servers, func(a, b Server) bool {
			return a.Name == b.Name && a.Pool == b.Pool && a.Slots == b.Slots && a.State == b.State
		})
}

// Fixed is the part of a record that stays the same for an incarnation.
type Fixed struct {
	Zone   string
	Region string
	// Peer is the address of the WebSocket listener and, with the same port
	// number, of the UDP socket.
	Peer   netip.AddrPort
	Caller netip.AddrPort
	Server netip.AddrPort
	Admin  netip.AddrPort
}

// Record is what a member says about itself.
type Record struct {
	Name        string
	Incarnation uint64
	Sequence    Sequence
	Fixed
	Detail
	// Left is set by a member that has ended a planned stop.
	Left bool
}

// Member is a record with this daemon's opinion. Values behind a *Member never
// change; a change makes a new one.
type Member struct {
	Record
	State State
	// Since is when State was entered here.
	Since time.Time
	// Unverified is true for a member known only from the log: its state is
	// StateSuspect until a peer or the member itself confirms it.
	Unverified bool
}

// Status tells how current a member's tables are. It changes all the time and
// therefore travels only on direct messages, never as news.
type Status struct {
	// Version is the version of the tables in force.
	Version uint64
	// Offset is the offset in the tables stream up to which records are applied.
	Offset uint64
	// ReadAt is the start of the last successful read of the log's end whose
	// records are all applied, so that Offset was the end at that time. After
	// catching up from a member it stays the own read's: the member's report is
	// evidence of its own. It is zero if there was no read.
	ReadAt time.Time
}

// Report is a member's Status as told to this daemon.
type Report struct {
	Member string
	// Age is the time since the read, as told.
	Age time.Duration
	// AskedAt is when this daemon sent the question that the report answers.
	AskedAt time.Time
	Version uint64
	Offset  uint64
	// Direct is false if another member passed the report on.
	Direct bool
}

// ReadAt returns a time that is certainly not after the start of the reported
// read: transit times count as age.
func (r Report) ReadAt() time.Time { return r.AskedAt.Add(-r.Age) }
