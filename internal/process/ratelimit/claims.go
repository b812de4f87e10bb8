package ratelimit

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
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
	// rankDelay separates the claims of daemons that see the same vacancy.
	rankDelay = 2 * time.Second
	// successorPatience is how long others leave a vacancy to the successor.
	successorPatience = 30 * time.Second
	// claimPatience is how long keeper and successor must be missing before
	// another daemon claims without proof. Such a claim stops the group for
	// ConsentTime; regions lose contact for minutes several times a year.
	claimPatience = 10 * time.Minute
	// probeInterval is the time between two probes for the death of a keeper.
	probeInterval = time.Second
	// probers is how many daemons besides the successor probe a keeper.
	probers = 3
	// refreshInterval is the least time between two refreshes of a claim.
	refreshInterval = 5 * time.Second
	// successorMissing is how long a successor must be missing before the
	// keeper names another one.
	successorMissing = 3 * time.Second
)

// Member is one alive member as the membership view has it.
type Member struct {
	ID      DaemonID
	Zone    string
	Address string // of the peer port
	Leaving bool
}

// ClaimReason tells why an action is taken.
type ClaimReason string

// The reasons of actions.
const (
	ClaimUnclaimed     ClaimReason = "unclaimed"              // AppendClaim: no claim in the log
	ClaimKeeperMissing ClaimReason = "keeper-missing"         // AppendClaim by the successor, ProbeDeath
	ClaimKeeperDead    ClaimReason = "keeper-dead"            // AppendClaim: death is proven
	ClaimBothMissing   ClaimReason = "both-missing"           // AppendClaim: keeper and successor
	ClaimSuccessor     ClaimReason = "successor-missing"      // AppendClaim: names another one
	ClaimNoConsent     ClaimReason = "no-consent"             // AppendClaim: names another successor
	ClaimRetention     ClaimReason = "retention"              // AppendClaim: before the log drops it
	ClaimStarted       ClaimReason = "started"                // AppendClaim: ends the wait of later claims
	ClaimPlannedStop   ClaimReason = "planned-stop"           // AppendClaim, HandOver
	ClaimFirst         ClaimReason = "first-claim"            // StartGranting: the stream was empty
	ClaimRightsEnded   ClaimReason = "earlier-rights-ended"   // StartGranting
	ClaimStateReceived ClaimReason = "state-received"         // StartGranting with the handed-over state
	ClaimSuperseded    ClaimReason = "superseded"             // StopGranting
	ClaimDropped       ClaimReason = "dropped-from-retention" // StopGranting
)

// Action is something that the daemon has to do.
type Action interface{ isAction() }

// AppendClaim asks to append a claim to the keepers stream and to report the
// outcome with Appended.
type AppendClaim struct {
	Claim  Claim
	Reason ClaimReason
}

// AskConsent asks to send a request for consent.
type AskConsent struct {
	To      DaemonID
	Request *wire.ConsentRequest
}

// StartGranting asks to create the group's Keeper: with TakeOver from the
// received state if FromState is set (or NewKeeper if that fails), else with
// NewKeeper.
type StartGranting struct {
	Group     uint32
	Epoch     uint64
	FromState bool
	Reason    ClaimReason
}

// StopGranting asks to drop the group's Keeper.
type StopGranting struct {
	Group  uint32
	Reason ClaimReason
}

// ProbeDeath asks to connect to a keeper's address. If the connection is
// refused or a newer incarnation answers, that is proof: call Died.
type ProbeDeath struct {
	Keeper  DaemonID
	Address string
	Reason  ClaimReason
}

// HandOver asks to end the group's Keeper with Keeper.HandOver, to send its
// state to the new keeper, with the claim that names it and the claim's offset,
// and to call HandedOver with the outcome.
type HandOver struct {
	Claim  Claim
	Offset platform.Offset
	Reason ClaimReason
}

func (*AppendClaim) isAction()   {}
func (*AskConsent) isAction()    {}
func (*StartGranting) isAction() {}
func (*StopGranting) isAction()  {}
func (*ProbeDeath) isAction()    {}
func (*HandOver) isAction()      {}

// predecessor is an earlier keeper whose right or grants may not have ended.
type predecessor struct {
	id      DaemonID
	address string
	endsAt  time.Time
	long    bool // it may go on by the consent of a successor that we do not know to have stopped
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

// Died takes the proof that a daemon is dead.
func (c *Claims) Died(now time.Time, id DaemonID) {
	if _, ok := c.dead[id]; ok || id == c.self.ID {
		return
	}
	c.dead[id] = now
	for i := range c.states {
		for j := range c.states[i].before {
			if p := &c.states[i].before[j]; p.id == id {
				p.end(now.Add(keeperGrantTime))
			}
		}
	}
}

// end moves the end of a predecessor to an earlier time.
func (p *predecessor) end(at time.Time) {
	p.long = false
	if at.Before(p.endsAt) {
		p.endsAt = at
	}
}

// ReadBatch takes the result of reading the keepers stream from Position.
// started is the time before the read was sent; it extends the right to grant
// if the batch reaches the end of the log, so that keepers should use long
// polls of at most 2 s.
func (c *Claims) ReadBatch(now, started time.Time, batch platform.Batch) []Action {
	var actions []Action
	if !c.started && c.position == 0 {
		c.fromZero = batch.First == 0
	}
	if batch.First > c.position {
		c.fromZero = false
		c.position = batch.First
	}
	for i := range c.states {
		if g := &c.states[i]; g.known && g.offset < batch.First {
			actions = append(actions, c.dropped(now, g)...)
		}
	}
	for _, r := range batch.Records {
		if r.Offset != c.position {
			continue // read twice
		}
		c.position = r.Offset + 1
		claim, err := DecodeClaim(r.Data, uint32(len(c.states)))
		if err == nil {
			actions = append(actions, c.record(now, r.Offset, claim)...)
		}
	}
	if c.position < batch.Next {
		return actions
	}
	c.started = true
	if started.After(c.lastRead) {
		c.lastRead = started
	}
	for i := range c.states {
		// A read that began after the outcome was reported shows every append
		// that took effect. unsettled keeps counting it until the next claim,
		// in case the platform was only late.
		if g := &c.states[i]; g.answered && started.After(g.answeredAt) {
			g.pending, g.answered = ClaimID{}, false
		}
	}
	return append(actions, c.Tick(now)...)
}

// dropped ends a claim that the log no longer retains. Readers that start now
// do not know it.
func (c *Claims) dropped(now time.Time, g *claimState) []Action {
	actions := c.stop(g, ClaimDropped)
	c.supersede(now, g, Claim{})
	g.known = false
	return actions
}

// stop ends granting, or the hand-over of the state.
func (c *Claims) stop(g *claimState, reason ClaimReason) []Action {
	if !g.granting && !g.handing {
		return nil
	}
	g.granting, g.handing = false, false
	return []Action{&StopGranting{Group: g.claim.Group, Reason: reason}}
}

// record applies a claim of the log.
func (c *Claims) record(now time.Time, offset platform.Offset, claim Claim) []Action {
	g := &c.states[claim.Group]
	if claim.Epoch <= g.epoch {
		return nil // an earlier record of the log has this epoch
	}
	var actions []Action
	same := g.known && claim.Keeper == g.claim.Keeper
	handing := c.beginsHandover(g, claim)
	if !same {
		if !handing {
			actions = c.stop(g, ClaimSuperseded)
		}
		if g.known {
			c.supersede(now, g, claim)
		} else if !c.fromZero && len(g.before) == 0 {
			// The keeper before the retained part of the log is unknown.
			g.before = append(g.before, newPredecessor(now, claim.Long))
		}
	}
	if claim.Started {
		g.before = nil
	}
	next := claimState{
		known: true, claim: claim, offset: offset, readAt: now, epoch: claim.Epoch, before: g.before,
		successorOK: now, askedByKeeper: now,
		refreshAfter: time.Duration((0.3 + 0.15*c.rng.Float64()) * float64(c.retention)),
	}
	if handing {
		next.handing = true
		actions = append(actions, &HandOver{Claim: claim, Offset: offset, Reason: ClaimPlannedStop})
	}
	if same {
		next.granting, next.received = g.granting, g.received
		next.handing, next.sendAt = g.handing, g.sendAt
		if claim.Successor == g.claim.Successor {
			next.consented, next.successorOK = g.consented, g.successorOK
		}
	}
	*g = next
	return actions
}

// newPredecessor returns a predecessor whose claim was found superseded now.
// Reads of the log that began later show that. Without long, its successor
// stopped consenting before; with it, it may go on by consent.
func newPredecessor(now time.Time, long bool) predecessor {
	right := LeaseTime
	if long {
		right = ConsentTime
	}
	return predecessor{long: long, endsAt: now.Add(withClockRate(right + GrantTime))}
}

// supersede remembers the keeper of the claim that ends.
func (c *Claims) supersede(now time.Time, g *claimState, by Claim) {
	id := g.claim.Keeper
	follows := by.Previous == id
	// A keeper that hands over takes no consent that it asked for after its
	// append, so that its successor need not know of the claim.
	settled := by.Kind == ClaimHandover || by.Keeper == g.claim.Successor
	p := newPredecessor(now, !follows || !settled)
	p.id, p.address = id, g.claim.Address
	if died, dead := c.dead[id]; dead {
		p.end(died.Add(keeperGrantTime))
	}
	if id == c.self.ID || (follows && (by.Proven || by.Stopped)) {
		p.end(now.Add(keeperGrantTime)) // it has stopped
	}
	g.before = slices.DeleteFunc(g.before, func(p predecessor) bool { return !now.Before(p.endsAt) })
	g.before = append(g.before, p)
}

// Appended takes the outcome of an AppendClaim: the error of platform.Log.
func (c *Claims) Appended(now time.Time, claim Claim, err error) {
	g := &c.states[claim.Group]
	if g.pending != claim.ID {
		return // read back in the meantime
	}
	if errors.Is(err, platform.ErrRejected) {
		g.pending = ClaimID{}
		if g.changes(claim) {
			g.unsettled--
		}
		return
	}
	g.answered, g.answeredAt = true, now
}

// changes tells if a claim names another keeper or successor.
func (g *claimState) changes(claim Claim) bool {
	return claim.Keeper != g.claim.Keeper || claim.Successor != g.claim.Successor
}

// append makes a claim and the action for it.
func (c *Claims) append(now time.Time, g *claimState, claim Claim, reason ClaimReason) []Action {
	binary.BigEndian.PutUint64(claim.ID[:8], c.rng.Uint64())
	binary.BigEndian.PutUint64(claim.ID[8:], c.rng.Uint64())
	claim.Epoch = g.epoch + 1
	if g.known {
		claim.Previous = g.claim.Keeper
	} else if !c.fromZero {
		// Greater than every epoch of the part that is no longer retained,
		// since each record raises the epoch by at most 1.
		claim.Epoch = max(claim.Epoch, uint64(c.position)+1)
	}
	if claim.Kind == ClaimNew && !claim.Proven && g.claim.Successor != c.self.ID {
		claim.Long = g.known || !c.fromZero
	}
	for _, p := range g.before {
		claim.Long = claim.Long || (!claim.Started && p.long && now.Before(p.endsAt))
	}
	if g.changes(claim) {
		if g.unsettled == 0 {
			g.appendedAt = now
		}
		g.unsettled++
	}
	g.pending, g.answered = claim.ID, false
	return []Action{&AppendClaim{claim, reason}}
}

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

func (c *Claims) fresh(now time.Time) bool { return now.Sub(c.lastRead) <= freshRead }

// keep returns the actions for a group that this daemon keeps.
func (c *Claims) keep(now time.Time, group uint32, g *claimState) []Action {
	// A keeper that leaves starts only to pass a received state on, and not after
	// a claim said that it has stopped.
	if !g.granting && (!c.leaving || (g.received && g.unsettled == 0)) {
		return c.start(now, group, g)
	}
	if c.leaving {
		return c.leave(now, group, g)
	}
	if c.alive(g.claim.Successor) {
		g.successorOK = now
	}
	if !c.fresh(now) || g.pending != (ClaimID{}) || now.Sub(g.readAt) < refreshInterval {
		return nil
	}
	claim := Claim{Kind: ClaimRefresh, Group: group, Keeper: c.self.ID, Address: c.self.Address,
		Successor: g.claim.Successor, Started: true}
	other := c.successor(group, c.self.Zone, g.claim.Successor)
	switch {
	case now.Sub(g.successorOK) >= successorMissing && other != g.claim.Successor:
		claim.Successor = other
		return c.append(now, g, claim, ClaimSuccessor)
	case c.leavingMember(g.claim.Successor) && other != (DaemonID{}):
		claim.Successor = other
		return c.append(now, g, claim, ClaimSuccessor)
	case g.claim.Successor != (DaemonID{}) && now.Sub(g.consented) >= consentPatience &&
		now.Sub(g.readAt) >= consentPatience:
		if other != (DaemonID{}) {
			claim.Successor = other
		}
		return c.append(now, g, claim, ClaimNoConsent)
	case now.Sub(g.readAt) >= g.refreshAfter:
		return c.append(now, g, claim, ClaimRetention)
	}
	return nil
}

// start begins granting when all earlier rights and grants have ended, or when
// the state of the keeper before has been received.
func (c *Claims) start(now time.Time, group uint32, g *claimState) []Action {
	reason, long := ClaimFirst, false
	var actions []Action
	for i := range g.before {
		p := &g.before[i]
		long = long || p.long
		if now.Before(p.endsAt) {
			return c.probe(now, p.id, p.address)
		}
		reason = ClaimRightsEnded
	}
	if !now.Before(c.lastRead.Add(LeaseTime)) {
		return nil
	}
	if g.received {
		reason = ClaimStateReceived
	}
	actions = append(actions, &StartGranting{Group: group, Epoch: g.claim.Epoch, FromState: g.received, Reason: reason})
	g.granting, g.received, g.before = true, false, nil
	g.successorOK = now
	if long {
		// Otherwise the next claim would have to wait for the same right again.
		claim := Claim{Kind: ClaimRefresh, Group: group, Keeper: c.self.ID, Address: c.self.Address,
			Successor: g.claim.Successor, Started: true}
		actions = append(actions, c.append(now, g, claim, ClaimStarted)...)
	}
	return actions
}

// probe returns a probe of a keeper's death if one is due.
func (c *Claims) probe(now time.Time, id DaemonID, address string) []Action {
	if address == "" || id == c.self.ID || now.Sub(c.probed[id]) < probeInterval {
		return nil
	}
	if _, dead := c.dead[id]; dead {
		return nil
	}
	c.probed[id] = now
	return []Action{&ProbeDeath{id, address, ClaimKeeperMissing}}
}

// watch returns the actions for a group that this daemon does not keep.
func (c *Claims) watch(now time.Time, group uint32, g *claimState) []Action {
	keeper := g.claim.Keeper
	if g.known && keeper.Member == c.self.ID.Member && keeper.Incarnation < c.self.ID.Incarnation &&
		g.claim.Address == c.self.Address {
		c.Died(now, keeper) // this process listens on its port
	}
	died, dead := c.dead[keeper]
	if g.known && !dead && c.alive(keeper) {
		g.missingSince = time.Time{}
		if g.claim.Successor == c.self.ID && now.Sub(g.askedByKeeper) >= keeperSilence {
			return c.probe(now, keeper, g.claim.Address)
		}
		return nil
	}
	if g.missingSince.IsZero() {
		g.missingSince = now
		if dead && died.Before(now) {
			g.missingSince = died
		}
	}
	missing := now.Sub(g.missingSince)
	var probe []Action
	reason, due := ClaimUnclaimed, time.Duration(0)
	if g.known {
		successorAlive := c.alive(g.claim.Successor)
		if g.claim.Successor == c.self.ID || c.rank(group) < probers {
			probe = c.probe(now, keeper, g.claim.Address)
		}
		switch {
		case dead && (g.claim.Successor == c.self.ID || !successorAlive):
			reason = ClaimKeeperDead
		case g.claim.Successor == c.self.ID:
			reason = ClaimKeeperMissing
		case dead:
			reason, due = ClaimKeeperDead, successorPatience
		case successorAlive:
			return probe // its consent may keep the keeper going
		default:
			reason, due = ClaimBothMissing, claimPatience
		}
	}
	if g.claim.Successor != c.self.ID || !g.known {
		due += time.Duration(c.rank(group)) * rankDelay
	}
	if missing < due || c.leaving || !c.fresh(now) || g.pending != (ClaimID{}) {
		return probe
	}
	return append(probe, c.append(now, g, Claim{Kind: ClaimNew, Group: group, Keeper: c.self.ID,
		Address: c.self.Address, Successor: c.successor(group, c.self.Zone), Proven: dead}, reason)...)
}

// score is the rendezvous hash of a member for a purpose. The seed spreads the
// groups, so that each takes its own order of the members.
func score(seed uint64, member string) uint64 {
	d := xxhash.NewWithSeed(seed)
	_, _ = d.WriteString(member) // never fails
	return d.Sum64()
}

// rank returns this daemon's place among the members that may claim a group.
func (c *Claims) rank(group uint32) int {
	rank, own := 0, score(uint64(group), c.self.ID.Member)
	for _, m := range c.members {
		if m.ID != c.self.ID && !m.Leaving && score(uint64(group), m.ID.Member) > own {
			rank++
		}
	}
	return rank
}

func (c *Claims) leavingMember(id DaemonID) bool {
	return slices.ContainsFunc(c.members, func(m Member) bool { return m.ID == id && m.Leaving })
}

// successor chooses the successor for a group, in another zone than the
// keeper's if possible, and not one of those to avoid. It is zero if there is none.
func (c *Claims) successor(group uint32, zone string, avoid ...DaemonID) DaemonID {
	var best DaemonID
	var bestScore uint64
	bestElsewhere := false
	for _, m := range c.members {
		if m.ID == c.self.ID || m.Leaving || slices.Contains(avoid, m.ID) {
			continue
		}
		if _, dead := c.dead[m.ID]; dead {
			continue
		}
		// The seed differs from that of rank, so that the successors of one
		// keeper's groups are spread.
		s, elsewhere := score(uint64(group)|1<<32, m.ID.Member), m.Zone != zone
		if best == (DaemonID{}) || (elsewhere && !bestElsewhere) || (elsewhere == bestElsewhere && s > bestScore) {
			best, bestScore, bestElsewhere = m.ID, s, elsewhere
		}
	}
	return best
}
