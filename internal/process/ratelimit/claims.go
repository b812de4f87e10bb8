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
	// are safe: a keeper that goes on by consent for ConsentTime must find its
	// claim still retained, although it was up to half the retention old.
	MinRetention = 3 * time.Hour
	// ClaimsTick is the longest time between two calls of Claims.Tick.
	ClaimsTick = 200 * time.Millisecond

	// freshRead is how recent the last read of the log must be for an append:
	// without a working platform the group would lose its keeper for nothing.
	freshRead = 3 * time.Second
)

// Member is one alive member as the membership view has it.
type Member struct {
	ID      DaemonID
	Zone    string
	Address string // of the peer port
	Leaving bool
}

// claimState is the state of one group.
type claimState struct {
	known  bool // claim is in the retained log
	claim  Claim
	offset platform.Offset
	readAt time.Time // when the claim was read
	epoch  uint64    // greatest epoch seen
	before []predecessor

	// What this daemon appended on top of the claim.
	// unsettled counts the appends that name another keeper or successor and
	// may have taken or may take effect.
	unsettled  int
	pending    ClaimID
	answered   bool      // the pending append has an unknown outcome since answeredAt
	answeredAt time.Time // ErrUnknown, or success that the log does not show yet
	appendedAt time.Time // first unsettled append

	// As keeper.
	granting     bool
	consented    time.Time
	successorOK  time.Time // when the successor was last seen alive
	refreshAfter time.Duration

	// As the keeper before, whose state goes to the keeper of the claim.
	handing bool
	sendAt  time.Time // when to send the state again; zero while it is being sent

	// As successor or other daemon.
	askedByKeeper time.Time
	missingSince  time.Time // zero if the keeper is alive

	// As the new keeper: the state that the keeper before handed over has been
	// received.
	received bool
}

// Claims follows the keepers stream and decides which groups this daemon
// claims, when it may grant, and when it must stop.
type Claims struct {
	self      Member
	retention time.Duration
	rng       *rand.Rand

	position platform.Offset // next offset to read
	started  bool            // the stream has been read to its end once
	fromZero bool            // everything since offset 0 has been read
	lastRead time.Time       // start of the last read to the end
	states   []claimState
	members  []Member // alive, in order of names, with this daemon
	dead     map[DaemonID]time.Time
	probed   map[DaemonID]time.Time
	leaving  bool

	hints []hint // by group

	number  uint64
	asks    map[uint64]consentAsk
	askedAt time.Time
}

// NewClaims returns the state for a daemon. retention is the retention time of
// the log, at least MinRetention.
func NewClaims(self Member, groups uint32, retention time.Duration, rng *rand.Rand) *Claims {
	return &Claims{
		self: self, retention: retention, rng: rng,
		states:  make([]claimState, groups),
		hints:   make([]hint, groups),
		members: []Member{self},
		dead:    map[DaemonID]time.Time{},
		probed:  map[DaemonID]time.Time{},
		asks:    map[uint64]consentAsk{},
	}
}

// Position returns the offset from which to read next.
func (c *Claims) Position() platform.Offset { return c.position }

// Keeper returns the claim that holds for a group. Its keeper may still be
// waiting and then refuses to grant.
func (c *Claims) Keeper(group uint32) (Claim, bool) {
	g := &c.states[group]
	return g.claim, g.known
}

// Kept returns how many groups this daemon keeps or is handing over. A daemon
// that stops closes its listener only when there are none.
func (c *Claims) Kept() int {
	n := 0
	for i := range c.states {
		if c.mine(&c.states[i]) || c.states[i].handing {
			n++
		}
	}
	return n
}

func (c *Claims) mine(g *claimState) bool { return g.known && g.claim.Keeper == c.self.ID }

// Members takes the membership view: all alive members.
func (c *Claims) Members(alive []Member) {
	c.members = slices.DeleteFunc(slices.Clone(alive), func(m Member) bool { return m.ID.Member == c.self.ID.Member })
	c.members = append(c.members, c.self)
	slices.SortFunc(c.members, func(a, b Member) int { return cmp.Compare(a.ID.Member, b.ID.Member) })
}

// alive tells if exactly this incarnation is in the membership view.
func (c *Claims) alive(id DaemonID) bool {
	return slices.ContainsFunc(c.members, func(m Member) bool { return m.ID == id })
}

func (c *Claims) fresh(now time.Time) bool { return now.Sub(c.lastRead) <= freshRead }

// Tick returns what is due. It is to be called at least every ClaimsTick.
func (c *Claims) Tick(now time.Time) []Action {
	if !c.started {
		return nil
	}
	var actions []Action
	for i := range c.states {
		g := &c.states[i]
		switch {
		case c.mine(g):
			actions = append(actions, c.keep(now, uint32(i), g)...)
		case g.handing:
			actions = append(actions, c.sendAgain(now, g)...)
		default:
			actions = append(actions, c.watch(now, uint32(i), g)...)
		}
	}
	return append(actions, c.askConsent(now)...)
}
