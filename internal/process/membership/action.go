package membership

import "net/netip"

// Reason tells why an action was taken.
type Reason string

// The reasons.
const (
	// ReasonNews: told by another member.
	ReasonNews Reason = "news"
	// ReasonAnnounced: read from the log; not yet confirmed by a probe.
	ReasonAnnounced Reason = "announced"
	// ReasonConfirmed: a member known from the log only has been confirmed.
	ReasonConfirmed Reason = "confirmed"
	// ReasonRecord: the member's own record changed.
	ReasonRecord Reason = "record-changed"
	// ReasonNoAnswer: neither a direct nor an indirect probe was answered.
	ReasonNoAnswer Reason = "no-answer"
	// ReasonReportedSuspect: another member suspects it.
	ReasonReportedSuspect Reason = "reported-suspect"
	// ReasonReportedDead: another member holds it for dead.
	ReasonReportedDead Reason = "reported-dead"
	// ReasonSuspicionExpired: a suspicion was not refuted in SuspicionTime.
	ReasonSuspicionExpired Reason = "suspicion-expired"
	// ReasonRefuted: the member itself refuted suspicion or death.
	ReasonRefuted Reason = "refuted"
	// ReasonReplaced: a greater incarnation answers at the same peer address, so
	// the old incarnation is proven dead.
	ReasonReplaced Reason = "replaced"
	// ReasonReplacedElsewhere: a greater incarnation exists at another or unknown
	// address. The old process may be paused and is not proven dead.
	ReasonReplacedElsewhere Reason = "replaced-elsewhere"
	// ReasonLeft: the member said that it left.
	ReasonLeft Reason = "left"
	// ReasonUndecodable: the datagram is not valid.
	ReasonUndecodable Reason = "undecodable"
	// ReasonOwnDatagram: the datagram came from this daemon or an earlier
	// incarnation of it.
	ReasonOwnDatagram Reason = "own-datagram"
)

// Action is something for the caller to do or to know. It is one of the types below.
type Action interface{ action() }

// Send asks for a datagram to be sent. Losing it is harmless.
type Send struct {
	To       netip.AddrPort
	Datagram []byte
}

// MemberUp tells of a member that can be used from now on.
type MemberUp struct {
	Member *Member
	Reason Reason
}

// MemberChanged tells of a member whose record or suspicion changed.
type MemberChanged struct {
	Member   *Member
	Previous *Member
	Reason   Reason
}

// MemberDown tells of a member that is dead. With ReasonReplaced the death of
// this incarnation is proven; that is reported even if it was down before.
type MemberDown struct {
	Member *Member
	Reason Reason
}

// MemberLeft tells of a member that ended a planned stop.
type MemberLeft struct {
	Member *Member
	Reason Reason
}

// Superseded tells that a later incarnation of this daemon's own name exists.
// This daemon must give up its roles and stop.
type Superseded struct{ Incarnation uint64 }

// Ignored tells of a datagram without effect.
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

// ReasonOf returns an action's reason, for logs. Send and Superseded have none.
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
