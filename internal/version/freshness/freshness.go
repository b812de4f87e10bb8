// Package freshness decides whether a daemon may still accept keys on the basis
// of its current tables, that is, whether a key can have been withdrawn without
// the daemon having learned of it.
//
// The decision depends on the time of the last read of the end of the tables
// stream, by this daemon or by another member that reports its own read. The age
// of a reported read is counted from before the report was requested, so network
// delays and pauses make the tables look older, never fresher.
//
// A daemon cannot tell the situations of each item below apart. The decision is
// the same for them, and is wrong for one of them in the way stated:
//
//   - The platform is down for all members; or it is up, and only members on the
//     other side of a network partition can read the edits that it accepts, while
//     this daemon is on the side with the majority. Decision: platform outage. The
//     daemon serves, and in the second situation a withdrawn key keeps working on
//     this side until the partition heals.
//   - The platform is down for all members; or it is up, and only reachable members
//     that this daemon did not ask can read it (of 1,100 members, a few dozen are
//     asked, or are known through others, within MaxAge). Decision: platform
//     outage. The daemon serves until the report of such a member arrives.
//   - The platform is down for all members, and this daemon is on the side of a
//     partition without the majority; or the daemon is cut off from a majority that
//     reads the stream. Decision: stale. The daemon refuses, in the first situation
//     without need.
//   - More than half of the known members are dead; or they are alive but cut off.
//     Decision: stale. While the platform is down the daemon refuses until the
//     dead members have left or were removed from the membership.
//   - The members that were asked are gone; or their answers are still in transit.
//     Decision: stale. The daemon refuses until more than half of the randomly
//     chosen members have answered.
//   - A member with a recent read has a newer record that changes a key; or one
//     that changes no key. Decision: catch up. The daemon refuses until it has the
//     record.
package freshness

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/process/platform"
)

// MaxAge is the maximum age of a read of the stream's end for keys to be accepted
// without further evidence. A withdrawn key must stop working within 5 s; the rest
// of that time is for passing the record of the withdrawal on to the daemon.
const MaxAge = 4 * time.Second

// State is the outcome of a decision.
type State uint8

// The states. Requests with a key are served in StateFresh and StatePlatformOutage.
const (
	// StateFresh: the tables include every change made more than MaxAge ago.
	StateFresh State = iota + 1
	// StateCatchUp: a reachable member has newer records, and the daemon has to
	// fetch them from it first.
	StateCatchUp
	// StatePlatformOutage: a majority of the members is reachable, and none of those
	// that were asked can read the stream, so the platform is assumed to accept no
	// edits.
	StatePlatformOutage
	// StateStale: a key may have been withdrawn without this daemon knowing.
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

// Reason tells why a state was chosen.
type Reason string

// The reasons.
const (
	// ReasonOwnRead: this daemon's own read is recent.
	ReasonOwnRead Reason = "own-read"
	// ReasonPeerRead: another member's read is recent and found no newer records.
	ReasonPeerRead Reason = "peer-read"
	// ReasonPeerNewer: another member's read is recent and found newer records.
	ReasonPeerNewer Reason = "peer-newer"
	// ReasonPeerNewerUnreachable: as ReasonPeerNewer, but that member is unreachable.
	ReasonPeerNewerUnreachable Reason = "peer-newer-unreachable"
	// ReasonNeverRead: this daemon has no tables yet.
	ReasonNeverRead Reason = "never-read"
	// ReasonMajorityWithoutPlatform: a majority of the members is reachable, and none
	// reported a recent read.
	ReasonMajorityWithoutPlatform Reason = "majority-without-platform"
	// ReasonNoMajority: the reachable members are not a majority of the known ones.
	ReasonNoMajority Reason = "no-majority"
	// ReasonNoAnswers: at most half of the members asked have answered.
	ReasonNoAnswers Reason = "no-answers"
)

// Report is another member's statement about its last read of the stream's end.
type Report struct {
	Member string
	// Age is the time since the start of that read, by the member's own clock.
	Age time.Duration
	// Offset is the member's position in the tables stream: it has applied all
	// records before it.
	Offset platform.Offset
	// RequestedAt is when this daemon requested the report, by its own clock.
	RequestedAt time.Time
	// Reachable is true if the member is alive in this daemon's view.
	Reachable bool
}

// readAt returns a lower bound of the time at which the read started, by the clock
// of this daemon.
func (r Report) readAt() time.Time { return r.RequestedAt.Add(-max(r.Age, 0)) }

// Input holds the facts that a decision depends on.
type Input struct {
	Now time.Time
	// ReadAt is the start of this daemon's last successful read of the stream's
	// end. It is zero if there was none.
	ReadAt time.Time
	// HasTables is true if this daemon has tables, from the log or from a peer.
	HasTables bool
	// Offset is this daemon's position in the tables stream.
	Offset platform.Offset
	// Reports are the other members' reports.
	Reports []Report
	// Known counts all members that have not left, and Reachable those of them
	// that are alive in this daemon's view. Both include this daemon.
	Known, Reachable int
	// Asked counts the randomly chosen members that were asked for a report within
	// the last MaxAge and had time to answer, and Answered those that did.
	Asked, Answered int
}

// Decision is the chosen state with its reason.
type Decision struct {
	State  State
	Reason Reason
	// FetchFrom is the member to fetch records from in StateCatchUp. In StateFresh it
	// may name a member with newer records, which are not needed to serve.
	FetchFrom string
	// Until is when the decision expires if the input does not change. It is zero
	// unless the state is StateFresh.
	Until time.Time
}

// MayServe reports whether requests with a key may be served.
func (d Decision) MayServe() bool { return d.State == StateFresh || d.State == StatePlatformOutage }

// Decide returns whether keys may be accepted on the basis of the current tables.
func Decide(in Input) Decision {
	if !in.HasTables {
		return decideWithoutTables(in)
	}
	notNewer, newer := latestReads(in)
	ownReadRecent := !in.ReadAt.IsZero() && in.Now.Sub(in.ReadAt) <= MaxAge
	switch {
	case ownReadRecent && (notNewer == nil || !notNewer.readAt().After(in.ReadAt)):
		return Decision{State: StateFresh, Reason: ReasonOwnRead, FetchFrom: reachableMember(newer), Until: in.ReadAt.Add(MaxAge)}
	case notNewer != nil:
		return Decision{State: StateFresh, Reason: ReasonPeerRead, FetchFrom: reachableMember(newer), Until: notNewer.readAt().Add(MaxAge)}
	case newer != nil && newer.Reachable:
		return Decision{State: StateCatchUp, Reason: ReasonPeerNewer, FetchFrom: newer.Member}
	case newer != nil:
		return Decision{State: StateStale, Reason: ReasonPeerNewerUnreachable}
	}
	return decideWithoutRecentRead(in)
}

// decideWithoutTables decides for a daemon that has no tables yet.
func decideWithoutTables(in Input) Decision {
	if _, newer := latestReads(in); newer != nil && newer.Reachable {
		return Decision{State: StateCatchUp, Reason: ReasonNeverRead, FetchFrom: newer.Member}
	}
	return Decision{State: StateStale, Reason: ReasonNeverRead}
}

// decideWithoutRecentRead decides if no recent read is known: either the platform
// is down, or this daemon is cut off from the members that can read the stream.
func decideWithoutRecentRead(in Input) Decision {
	switch {
	case 2*in.Reachable <= in.Known:
		return Decision{State: StateStale, Reason: ReasonNoMajority}
	case in.Known > 1 && 2*in.Answered <= in.Asked || in.Known > 1 && in.Answered == 0:
		return Decision{State: StateStale, Reason: ReasonNoAnswers}
	}
	return Decision{State: StatePlatformOutage, Reason: ReasonMajorityWithoutPlatform}
}

// latestReads returns two reports of reads within MaxAge: notNewer is the latest read
// by a member that has no newer records than this daemon, and newer the latest one by
// a member that has. For newer, reachable members take precedence.
func latestReads(in Input) (notNewer, newer *Report) {
	for i := range in.Reports {
		r := &in.Reports[i]
		if in.Now.Sub(r.readAt()) > MaxAge {
			continue
		}
		if in.HasTables && r.Offset <= in.Offset {
			if notNewer == nil || r.readAt().After(notNewer.readAt()) {
				notNewer = r
			}
			continue
		}
		if newer == nil || r.Reachable && !newer.Reachable ||
			r.Reachable == newer.Reachable && r.readAt().After(newer.readAt()) {
			newer = r
		}
	}
	return notNewer, newer
}

// reachableMember returns the name of the report's member, or "" without a report
// or if the member is unreachable.
func reachableMember(r *Report) string {
	if r == nil || !r.Reachable {
		return ""
	}
	return r.Member
}
