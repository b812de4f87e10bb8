package membership

import "net/netip"

// Reason is the cause of an action.
type Reason string

const (
	// ReasonGossip: learned from an update of another member.
	ReasonGossip Reason = "news"
	// ReasonAnnounced: read from the log; not yet confirmed by a probe.
	ReasonAnnounced Reason = "announced"
	// ReasonConfirmed: a member that was known only from the log answered a probe
	// or was reported by another member.
	ReasonConfirmed Reason = "confirmed"
	// ReasonRecordChanged: the member changed its own record.
	ReasonRecordChanged Reason = "record-changed"
	// ReasonNoAnswer: neither a direct nor an indirect probe was answered.
	ReasonNoAnswer Reason = "no-answer"
	// ReasonReportedSuspect: another member suspects it.
	ReasonReportedSuspect Reason = "reported-suspect"
	// ReasonReportedDead: another member declared it dead.
	ReasonReportedDead Reason = "reported-dead"
	// ReasonSuspicionExpired: the member did not refute a suspicion within
	// SuspicionTimeout.
	ReasonSuspicionExpired Reason = "suspicion-expired"
	// ReasonRefuted: the member refuted its suspicion or death.
	ReasonRefuted Reason = "refuted"
	// ReasonReplaced: a greater incarnation answers at the same peer address, so
	// the old incarnation is proven dead.
	ReasonReplaced Reason = "replaced"
	// ReasonReplacedElsewhere: a greater incarnation exists at another or unknown
	// address. The old process may be paused and is not proven dead.
	ReasonReplacedElsewhere Reason = "replaced-elsewhere"
	// ReasonLeft: the member announced that it has left.
	ReasonLeft Reason = "left"
	// ReasonUndecodable: the datagram is not valid.
	ReasonUndecodable Reason = "undecodable"
	// ReasonOwnDatagram: the datagram came from this daemon or an earlier
	// incarnation of it.
	ReasonOwnDatagram Reason = "own-datagram"
)

// Action is an instruction or a notification for the caller: one of the types below.
type Action interface{ action() }

// Send instructs the caller to send a datagram. The protocol tolerates its loss.
type Send struct {
	To       netip.AddrPort
	Datagram []byte
}

// MemberUp reports a member that can be used from now on.
type MemberUp struct {
	Member *Member
	Reason Reason
}

// MemberChanged reports a member whose record or suspicion changed.
type MemberChanged struct {
	Member   *Member
	Previous *Member
	Reason   Reason
}

// MemberDown reports a member that is dead. With ReasonReplaced the death of this
// incarnation is proven; this is reported even if the member was already dead.
type MemberDown struct {
	Member *Member
	Reason Reason
}

// MemberLeft reports a member that has completed a planned stop.
type MemberLeft struct {
	Member *Member
	Reason Reason
}

// Superseded reports that a later incarnation of this daemon's own name exists. This
// daemon must give up its roles and stop.
type Superseded struct{ Incarnation uint64 }

// Ignored reports a datagram that had no effect.
type Ignored struct {
	From   netip.AddrPort
	Reason Reason
	Err    error
}

func (Send) action()          {}
func (MemberUp) action()      {}
func (MemberChanged) action() {}
func (MemberDown) action()    {}
func (MemberLeft) action()    {}
func (Superseded) action()    {}
func (Ignored) action()       {}

// ReasonOf returns the reason of an action, for logs; "" for Send and Superseded.
func ReasonOf(a Action) Reason {
	switch a := a.(type) {
	case MemberUp:
		return a.Reason
	case MemberChanged:
		return a.Reason
	case MemberDown:
		return a.Reason
	case MemberLeft:
		return a.Reason
	case Ignored:
		return a.Reason
	}
	return ""
}
