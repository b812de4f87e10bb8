// Package freshness decides whether the keys of the current tables may be trusted:
// whether a withdrawal could have been accepted without this daemon knowing.
//
// The decision rests on the time of the last read of the log's end by this daemon
// or by a member that tells about its own read. Every age is counted from before
// the question was sent, so transit times and pauses make tables look older, never
// fresher.
//
// These situations look the same from here, and the decision errs as follows:
//
//   - The platform is down for all, or it is up and accepts edits that only
//     members on the other side of a partition can read, while this daemon is on
//     the side with the majority. Decided as an outage: it serves, and a key that
//     is withdrawn in the second situation goes on working on this side until the
//     partition heals.
//   - The platform is down for all, or up and read only by reachable members that
//     this daemon happened not to ask (at 1,100 members a few dozen are asked, or
//     heard of through others, within MaxAge). Decided as an outage: it serves,
//     until the report of such a member arrives.
//   - The platform is down for all, and this daemon is on the side without the
//     majority; or it is cut off from a majority that reads the log. Decided as
//     stale: it refuses, in the first situation wrongly.
//   - More than half of the known members are dead, or they are cut off. Decided
//     as stale: it refuses while the platform is down, until the dead ones have
//     been forgotten or have left.
//   - The members do not answer because they are gone, or because their answers
//     are still on the way. Decided as stale: it refuses until more than half of
//     the random members asked have answered.
//   - A fresh member has a newer record that changes a key, or one that does not.
//     Decided as a need to catch up: it refuses for the time that this takes.
package freshness

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/process/platform"
)

// MaxAge is the greatest age of a read of the log's end that keys are trusted on.
// With the time to pass a record on, a withdrawn key stops working within 5 s.
const MaxAge = 4 * time.Second

// State is the outcome of a decision.
type State uint8

// The states. Keyed requests are served in StateFresh and StatePlatformOutage.
const (
	// StateFresh: nothing can have changed more than MaxAge ago.
	StateFresh State = iota + 1
	// StateCatchUp: a reachable member knows newer records; take them from it.
	StateCatchUp
	// StatePlatformOutage: no member of a majority reads the log, so it is taken
	// to accept no edits.
	StatePlatformOutage
	// StateStale: a withdrawal may have been missed.
	StateStale
)

// String returns the state's name for logs.
func (s State) String() string {
	switch s {
	case StateFresh:
		return "fresh"
	case StateCatchUp:
		return "catch-up"
	case StatePlatformOutage:
		return "platform-outage"
	case StateStale:
		return "stale"
	}
	return "unknown"
}

// Reason tells why a state was decided.
type Reason string

// The reasons.
const (
	// ReasonOwnRead: this daemon's own read is recent.
	ReasonOwnRead Reason = "own-read"
	// ReasonPeerRead: a member's read is recent and found nothing newer.
	ReasonPeerRead Reason = "peer-read"
	// ReasonPeerNewer: a member's read is recent and found newer records.
	ReasonPeerNewer Reason = "peer-newer"
	// ReasonPeerNewerUnreachable: the same, but that member cannot be reached.
	ReasonPeerNewerUnreachable Reason = "peer-newer-unreachable"
	// ReasonNeverRead: this daemon has no tables yet.
	ReasonNeverRead Reason = "never-read"
	// ReasonMajorityWithoutPlatform: a reachable majority has no recent read.
	ReasonMajorityWithoutPlatform Reason = "majority-without-platform"
	// ReasonNoMajority: the reachable members are not a majority.
	ReasonNoMajority Reason = "no-majority"
	// ReasonNoAnswers: at most half of the members asked have answered.
	ReasonNoAnswers Reason = "no-answers"
)

// Report is what a member told about its last read of the log's end.
type Report struct {
	Member string
	// Age is the time since the start of that read, as told.
	Age time.Duration
	// Offset is the member's position in the tables stream: it has applied all
	// records before it.
	Offset platform.Offset
	// AskedAt is when this daemon sent the question, on its own clock.
	AskedAt time.Time
	// Reachable is true if the member is alive in this daemon's view.
	Reachable bool
}

// readAt returns a time that is certainly not after the start of the read.
func (r Report) readAt() time.Time { return r.AskedAt.Add(-max(r.Age, 0)) }

// Input is what a decision rests on.
type Input struct {
	Now time.Time
	// ReadAt is the start of this daemon's last successful read of the log's
	// end. It is zero if there was none.
	ReadAt time.Time
	// HasTables is true if this daemon has tables, from the log or from a peer.
	HasTables bool
	// Offset is this daemon's position in the tables stream.
	Offset platform.Offset
	// Reports are the other members' reports.
	Reports []Report
	// Known counts all members that have not left, with this daemon. Reachable
	// counts those that are alive in its view, with this daemon.
	Known, Reachable int
	// Asked counts the random members that were asked for a report within the
	// last MaxAge and had time to answer, and Answered those that did.
	Asked, Answered int
}

// Decision is the outcome with its reason.
type Decision struct {
	State  State
	Reason Reason
	// From is the member to catch up from in StateCatchUp. In StateFresh it may
	// name a member with newer records; those may be taken without haste.
	From string
	// Until is when the decision ends at the latest if nothing else happens. It
	// is zero unless the state is StateFresh.
	Until time.Time
}

// Serve tells whether keyed requests may be served.
func (d Decision) Serve() bool { return d.State == StateFresh || d.State == StatePlatformOutage }

// Decide tells whether keys may be trusted.
func Decide(in Input) Decision {
	if !in.HasTables {
		return withoutTables(in)
	}
	same, newer := recent(in)
	own := !in.ReadAt.IsZero() && in.Now.Sub(in.ReadAt) <= MaxAge
	switch {
	case own && (same == nil || !same.readAt().After(in.ReadAt)):
		return Decision{State: StateFresh, Reason: ReasonOwnRead, From: reachableName(newer), Until: in.ReadAt.Add(MaxAge)}
	case same != nil:
		return Decision{State: StateFresh, Reason: ReasonPeerRead, From: reachableName(newer), Until: same.readAt().Add(MaxAge)}
	case newer != nil && newer.Reachable:
		return Decision{State: StateCatchUp, Reason: ReasonPeerNewer, From: newer.Member}
	case newer != nil:
		return Decision{State: StateStale, Reason: ReasonPeerNewerUnreachable}
	}
	return withoutFreshMember(in)
}

// withoutTables decides for a daemon that has not seen any tables.
func withoutTables(in Input) Decision {
	if _, newer := recent(in); newer != nil && newer.Reachable {
		return Decision{State: StateCatchUp, Reason: ReasonNeverRead, From: newer.Member}
	}
	return Decision{State: StateStale, Reason: ReasonNeverRead}
}

// withoutFreshMember tells an outage of the platform from being cut off.
func withoutFreshMember(in Input) Decision {
	switch {
	case 2*in.Reachable <= in.Known:
		return Decision{State: StateStale, Reason: ReasonNoMajority}
	case in.Known > 1 && 2*in.Answered <= in.Asked || in.Known > 1 && in.Answered == 0:
		return Decision{State: StateStale, Reason: ReasonNoAnswers}
	}
	return Decision{State: StatePlatformOutage, Reason: ReasonMajorityWithoutPlatform}
}

// recent returns the latest of the recent reads by members that have nothing newer
// than this daemon, and by members that have, reachable ones first.
func recent(in Input) (same, newer *Report) {
	for i := range in.Reports {
		r := &in.Reports[i]
		if in.Now.Sub(r.readAt()) > MaxAge {
			continue
		}
		if in.HasTables && r.Offset <= in.Offset {
			if same == nil || r.readAt().After(same.readAt()) {
				same = r
			}
			continue
		}
		if newer == nil || r.Reachable && !newer.Reachable ||
			r.Reachable == newer.Reachable && r.readAt().After(newer.readAt()) {
			newer = r
		}
	}
	return same, newer
}

func reachableName(r *Report) string {
	if r == nil || !r.Reachable {
		return ""
	}
	return r.Member
}
