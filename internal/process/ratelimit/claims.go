package ratelimit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/platform"
)

const (
	// MinRetention is the shortest retention time of the log with which claims
	// are safe. A keeper that continues for ConsentTime with consent alone must
	// find its claim still retained afterwards, and the claim may be as old as
	// half the retention time when the platform becomes unavailable.
	MinRetention = 3 * time.Hour
	// ClaimsTick is the longest time between two calls of Claims.Tick.
	ClaimsTick = 200 * time.Millisecond

	// maxReadAge is the greatest age of the last read of the log at which a claim is
	// appended. Without this bound, an append made while the platform is unavailable
	// could take effect later and replace a working keeper for no reason.
	maxReadAge = 3 * time.Second
)

// Member is an alive member of the membership view.
type Member struct {
	ID      DaemonID
	Zone    string
	Address string // of the peer port
	Leaving bool
}

// claimState is what Claims knows about the claims of one group.
type claimState struct {
	known        bool  // claim is valid: the log has a claim and still retains it
	claim        Claim // the claim with the greatest epoch
	offset       platform.Offset
	readAt       time.Time // when the claim was read
	epoch        uint64    // greatest epoch read
	predecessors []predecessor

	// Appends by this daemon since the claim was read.
	// unconfirmed counts the appends that name another keeper or successor than the
	// claim and were not rejected: they may be in the log or may still get there.
	unconfirmed      int
	pending          ClaimID   // of the last append, until its effect on the log is known
	reported         bool      // Appended reported success or ErrOutcomeUnknown for pending, and no read begun later has reached the log's end
	reportedAt       time.Time // when Appended reported it
	unconfirmedSince time.Time // when the first of the unconfirmed appends was made

	// If this daemon is the keeper.
	granting        bool
	consentedAt     time.Time     // sending of the last consent request that was granted
	successorSeenAt time.Time     // when the successor was last in the membership view
	refreshAfter    time.Duration // age at which the claim is repeated because of the retention

	// If this daemon was the keeper and hands its state over to the new one.
	handingOver bool
	resendAt    time.Time // when to send the state again; zero while it is being sent

	// If another daemon is the keeper.
	consentRequestReceivedAt time.Time // when the keeper last asked this daemon, its successor, for consent
	missingSince             time.Time // zero if the keeper is alive

	// If this daemon is the new keeper: it has received the state of the old one.
	stateReceived bool
}

// Claims is the state machine that elects the keepers of rate groups. It follows
// the keepers stream and decides which groups this daemon claims, when it may
// grant tokens, and when it must stop.
type Claims struct {
	self      Member
	retention time.Duration
	rng       *rand.Rand

	position        platform.Offset        // next offset to read
	caughtUp        bool                   // the stream has been read up to its end once
	completeHistory bool                   // all records since offset 0 have been read
	lastRead        time.Time              // start of the last read that reached the end of the stream
	states          []claimState           // by group
	members         []Member               // alive members in order of names, including this daemon
	dead            map[DaemonID]time.Time // daemons proven to be dead, with the time of the proof
	probed          map[DaemonID]time.Time // time of the last probe of a keeper
	leaving         bool                   // a planned stop has begun

	hints []keeperHint // by group; see HintKeeper

	number               uint64 // of the last consent request
	pendingConsents      map[uint64]pendingConsent
	consentRequestSentAt time.Time // when consent was last requested
}

// NewClaims returns the Claims of a daemon that has read nothing of the log. retention
// is the retention time of the log, at least MinRetention.
func NewClaims(self Member, groups uint32, retention time.Duration, rng *rand.Rand) *Claims {
	return &Claims{
		self: self, retention: retention, rng: rng,
		states:          make([]claimState, groups),
		hints:           make([]keeperHint, groups),
		members:         []Member{self},
		dead:            map[DaemonID]time.Time{},
		probed:          map[DaemonID]time.Time{},
		pendingConsents: map[uint64]pendingConsent{},
	}
}

// Position returns the offset from which to read next.
func (c *Claims) Position() platform.Offset { return c.position }

// Keeper returns the current claim of a group, if there is one. Its keeper refuses
// to grant while it waits for the leases and grants of earlier keepers to end.
func (c *Claims) Keeper(group uint32) (Claim, bool) {
	g := &c.states[group]
	return g.claim, g.known
}

// KeptGroups returns the number of groups of which this daemon is the keeper or that it
// is handing over. A daemon that stops closes its listener only when there are none.
func (c *Claims) KeptGroups() int {
	n := 0
	for i := range c.states {
		if c.isKeeper(&c.states[i]) || c.states[i].handingOver {
			n++
		}
	}
	return n
}

// isKeeper reports whether this daemon is the keeper of a group.
func (c *Claims) isKeeper(g *claimState) bool { return g.known && g.claim.Keeper == c.self.ID }

// SetMembers sets the membership view: all alive members.
func (c *Claims) SetMembers(alive []Member) {
	c.members = slices.DeleteFunc(slices.Clone(alive), func(m Member) bool { return m.ID.Member == c.self.ID.Member })
	c.members = append(c.members, c.self)
	slices.SortFunc(c.members, func(a, b Member) int { return cmp.Compare(a.ID.Member, b.ID.Member) })
}

// alive reports whether this incarnation of a daemon is in the membership view.
func (c *Claims) alive(id DaemonID) bool {
	return slices.ContainsFunc(c.members, func(m Member) bool { return m.ID == id })
}

// readRecently reports whether the log has been read recently enough to append a claim.
func (c *Claims) readRecently(now time.Time) bool { return now.Sub(c.lastRead) <= maxReadAge }

// Tick returns the actions that are due. Call it at least every ClaimsTick.
func (c *Claims) Tick(now time.Time) []Action {
	if !c.caughtUp {
		return nil
	}
	var actions []Action
	for i := range c.states {
		g := &c.states[i]
		switch {
		case c.isKeeper(g):
			actions = append(actions, c.keeperActions(now, uint32(i), g)...)
		case g.handingOver:
			actions = append(actions, c.resendState(now, g)...)
		default:
			actions = append(actions, c.watchActions(now, uint32(i), g)...)
		}
	}
	return append(actions, c.requestConsent(now)...)
}
