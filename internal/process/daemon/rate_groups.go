package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/membership"
	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/process/ratelimit"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Time limits of the keeper's operations.
const (
	claimAppendTimeout = 5 * time.Second
	deathProbeTimeout  = time.Second
	handOverAllTimeout = 5 * time.Second
	membersTimeout     = 10 * time.Second
)

// rateGroups is the keeper side of rate limiting: it claims rate groups on the
// keepers stream and grants the tokens of their workspaces to the daemons that spend
// them, the holders. mu guards the fields below it.
type rateGroups struct {
	self       ratelimit.DaemonID
	members    *members
	log        platform.Log
	handover   *handover
	groupCount uint32
	pollWait   time.Duration
	// expectMembers is true if other daemons may be running; see Daemon.
	expectMembers bool

	mu      sync.Mutex
	claims  *ratelimit.Claims
	keepers map[uint32]*ratelimit.Keeper
	// received holds the states that stopping keepers handed over, by group, until
	// this daemon starts to grant tokens of the group.
	received   map[uint32][]byte
	workspaces []tables.Workspace // with the limits in force
}

func newRateGroups(self ratelimit.Member, members *members, log platform.Log, cfg Config, rng *rand.Rand) *rateGroups {
	return &rateGroups{
		self:       self.ID,
		members:    members,
		log:        log,
		groupCount: cfg.RateGroups,
		pollWait:   cfg.PollWait,
		claims:     ratelimit.NewClaims(self, cfg.RateGroups, cfg.Retention, rng),
		keepers:    make(map[uint32]*ratelimit.Keeper),
		received:   make(map[uint32][]byte),
	}
}

// keeperOf returns the keeper from which to request tokens of a group.
func (g *rateGroups) keeperOf(group uint32) (ratelimit.DaemonID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.claims.GrantTarget(time.Now(), group)
}

// awaitMembers waits until this daemon knows which members are alive, but no longer
// than membersTimeout. Until then every keeper seems to be missing, and a restarted
// daemon would claim the groups of alive keepers whose successor it is.
func (g *rateGroups) awaitMembers(ctx context.Context) {
	if !g.expectMembers {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	if waitFor(ctx, readinessPoll, g.members.synchronized) != nil {
		logging.WarningEvent("rates", "claiming-without-members")
	}
}

// allKeepersKnown reports whether the keeper of every group is known.
func (g *rateGroups) allKeepersKnown() bool {
	for group := range g.groupCount {
		if _, ok := g.keeperOf(group); !ok {
			return false
		}
	}
	return true
}

// knownKeepers returns the keepers of all groups for which a claim has been read.
func (g *rateGroups) knownKeepers() []wire.GroupKeeper {
	g.mu.Lock()
	defer g.mu.Unlock()
	var knownKeepers []wire.GroupKeeper
	for group := range g.groupCount {
		if claim, ok := g.claims.Keeper(group); ok {
			knownKeepers = append(knownKeepers, groupKeeper(claim))
		}
	}
	return knownKeepers
}

// groupKeeper returns the keeper that a claim names.
func groupKeeper(claim ratelimit.Claim) wire.GroupKeeper {
	return wire.GroupKeeper{
		Group: claim.Group, Member: claim.Keeper.Member, Incarnation: claim.Keeper.Incarnation, Epoch: claim.Epoch,
	}
}

// addKeeperHints records the keepers that a peer named, which may be newer than the
// claims that this daemon has read.
func (g *rateGroups) addKeeperHints(keepers []wire.GroupKeeper) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, k := range keepers {
		g.claims.HintKeeper(k.Group, ratelimit.DaemonID{Member: k.Member, Incarnation: k.Incarnation}, k.Epoch)
	}
}

// grant answers a holder's request for tokens.
func (g *rateGroups) grant(now time.Time, holder ratelimit.DaemonID, request *wire.GrantRequest) wire.GrantReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	keeper, ok := g.keepers[request.Group]
	if !ok {
		reply := wire.GrantReply{Number: request.Number, Group: request.Group, Refused: string(ratelimit.GrantNotKeeper)}
		if request.Group < g.groupCount {
			// The holder may not have read the claim of the new keeper yet.
			if claim, ok := g.claims.Keeper(request.Group); ok && claim.Keeper != g.self {
				reply.Keepers = []wire.GroupKeeper{groupKeeper(claim)}
			}
		}
		return reply
	}
	reply, _ := keeper.Grant(now, g.claims.LeaseEnd(request.Group), holder, request)
	return reply
}

// setLimits applies the workspaces' rate limits.
func (g *rateGroups) setLimits(now time.Time, workspaces []tables.Workspace) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.workspaces = workspaces
	for _, keeper := range g.keepers {
		keeper.SetLimits(now, workspaces)
	}
}

// followClaims reads the keepers stream until ctx ends.
func (g *rateGroups) followClaims(ctx context.Context) {
	for ctx.Err() == nil {
		g.mu.Lock()
		from := g.claims.Position()
		g.mu.Unlock()
		begun := time.Now()
		batch, err := g.log.Read(ctx, platform.StreamKeepers, from, readLimit, g.pollWait)
		if err != nil {
			pause(ctx, readErrorDelay)
			continue
		}
		g.step(func(now time.Time) []ratelimit.Action { return g.claims.ApplyBatch(now, begun, batch) })
	}
}

// tick passes the time and the alive members to the claims until ctx ends.
func (g *rateGroups) tick(ctx context.Context) {
	g.awaitMembers(ctx)
	var seen *membership.View
	for pause(ctx, ratelimit.ClaimsTick) {
		view := g.members.service.View()
		changed := view != seen
		seen = view
		var members []ratelimit.Member
		if changed {
			members = aliveMembers(view)
		}
		g.step(func(now time.Time) []ratelimit.Action {
			if changed {
				g.claims.SetMembers(members)
			}
			return g.claims.Tick(now)
		})
	}
}

// aliveMembers returns the members of a membership view for the claims.
func aliveMembers(view *membership.View) []ratelimit.Member {
	alive := make([]ratelimit.Member, 0, len(view.Members))
	for _, member := range view.Members {
		alive = append(alive, ratelimit.Member{
			ID:      ratelimit.DaemonID{Member: member.Name, Incarnation: member.Incarnation},
			Zone:    member.Zone,
			Address: member.Peer.String(),
			Leaving: member.Leaving,
		})
	}
	return alive
}

// step handles an event of the claims under the lock and carries out its actions.
// Keepers start and stop before the lock is released, so that no tokens are granted
// in between.
func (g *rateGroups) step(event func(now time.Time) []ratelimit.Action) {
	now := time.Now()
	g.mu.Lock()
	actions := event(now)
	for _, action := range actions {
		switch a := action.(type) {
		case *ratelimit.StartGranting:
			g.startGranting(now, a)
		case *ratelimit.StopGranting:
			delete(g.keepers, a.Group)
			logging.InfoEvent("rates", "group-stopped", "group", a.Group, "reason", string(a.Reason))
		}
	}
	g.mu.Unlock()
	for _, action := range actions {
		g.carryOut(action)
	}
}

// startGranting creates the keeper of a group, from a handed-over state if there is
// one. The caller holds the lock.
func (g *rateGroups) startGranting(now time.Time, a *ratelimit.StartGranting) {
	keeper := ratelimit.NewKeeper(a.Group, g.groupCount, a.Epoch)
	if a.FromState {
		taken, err := ratelimit.TakeOver(now, g.received[a.Group], a.Epoch)
		if err == nil {
			keeper = taken
		}
		logging.InfoEvent("rates", "group-taken-over", "group", a.Group, "error", errorText(err))
	}
	delete(g.received, a.Group)
	keeper.SetLimits(now, g.workspaces)
	g.keepers[a.Group] = keeper
	logging.InfoEvent("rates", "group-started", "group", a.Group, "epoch", a.Epoch, "reason", string(a.Reason))
}

// carryOut carries out an action that needs no lock.
func (g *rateGroups) carryOut(action ratelimit.Action) {
	switch a := action.(type) {
	case *ratelimit.AppendClaim:
		go g.appendClaim(a)
	case *ratelimit.SendConsentRequest:
		go g.askConsent(a)
	case *ratelimit.ProbeKeeper:
		go g.probeKeeper(a)
	case *ratelimit.HandOver:
		go g.handOverGroup(a)
	}
}

// appendClaim appends a claim to the keepers stream and reports the outcome to the
// claims.
func (g *rateGroups) appendClaim(a *ratelimit.AppendClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), claimAppendTimeout)
	defer cancel()
	data, err := ratelimit.EncodeClaim(a.Claim)
	if err == nil {
		_, err = g.log.Append(ctx, platform.StreamKeepers, data)
	}
	logging.InfoEvent("rates", "group-claim", "group", a.Claim.Group, "epoch", a.Claim.Epoch, "keeper", a.Claim.Keeper.Member,
		"successor", a.Claim.Successor.Member, "reason", string(a.Reason), "error", errorText(err))
	g.step(func(now time.Time) []ratelimit.Action {
		g.claims.Appended(now, a.Claim, err)
		return nil
	})
}

// askConsent asks the successor of rate groups to renew this keeper's right to grant
// their tokens.
func (g *rateGroups) askConsent(a *ratelimit.SendConsentRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), reconnectTimeout)
	defer cancel()
	if link, err := g.members.link(ctx, a.To.Member); err == nil {
		_ = link.Send(a.Request)
	}
}

// onConsentRequest answers a keeper that names this daemon as its successor.
func (g *rateGroups) onConsentRequest(link peer.Link, m *wire.ConsentRequest) {
	g.mu.Lock()
	reply := g.claims.ConsentRequest(time.Now(), daemonOf(link), m)
	g.mu.Unlock()
	_ = link.Send(reply)
}

// onConsentReply passes a successor's answer to the claims.
func (g *rateGroups) onConsentReply(link peer.Link, m *wire.ConsentReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.claims.ConsentReply(daemonOf(link), m)
}

func daemonOf(link peer.Link) ratelimit.DaemonID {
	identity := link.Peer()
	return ratelimit.DaemonID{Member: identity.Member, Incarnation: identity.Incarnation}
}

// probeKeeper connects to a keeper's address. A refused connection, or an answer
// from a later incarnation, proves that the keeper is dead.
func (g *rateGroups) probeKeeper(a *ratelimit.ProbeKeeper) {
	ctx, cancel := context.WithTimeout(context.Background(), deathProbeTimeout)
	defer cancel()
	identity, err := g.members.hub.Probe(ctx, a.Address)
	dead := errors.Is(err, syscall.ECONNREFUSED) ||
		err == nil && identity.Member == a.Keeper.Member && identity.Incarnation > a.Keeper.Incarnation
	logging.InfoEvent("rates", "keeper-probed", "keeper", a.Keeper.Member, "reason", string(a.Reason), "dead", dead, "error", errorText(err))
	if dead {
		g.daemonDied(a.Keeper)
	}
}

// daemonDied tells the claims that a daemon is known to be dead.
func (g *rateGroups) daemonDied(id ratelimit.DaemonID) {
	g.step(func(now time.Time) []ratelimit.Action {
		g.claims.ConfirmDead(now, id)
		return nil
	})
}

// groupState is the payload of a wire.Handover message for a rate group: the state
// of the old keeper, the claim that names the new one, and the offset of this claim in
// the keepers stream. Key 1 was used by earlier releases and must not be reused.
type groupState struct {
	State  []byte          `cbor:"2,keyasint"`
	Claim  []byte          `cbor:"3,keyasint"`
	Offset platform.Offset `cbor:"4,keyasint"`
}

// errNotKeeper means that this daemon has stopped granting tokens of the group since the
// claims decided to hand it over.
var errNotKeeper = errors.New("this daemon is not the keeper of the group any more")

// handOverGroup stops granting tokens of a group, sends the keeper's state to the
// new keeper and tells the peers which daemon to ask from now on.
func (g *rateGroups) handOverGroup(a *ratelimit.HandOver) {
	group, to := a.Claim.Group, a.Claim.Keeper
	g.mu.Lock()
	keeper, ok := g.keepers[group]
	var state []byte
	err := errNotKeeper
	if ok {
		state, err = keeper.HandOver(time.Now())
	}
	g.mu.Unlock()
	if err == nil {
		err = g.sendState(state, a)
	}
	logging.InfoEvent("rates", "group-handed-over", "group", group, "to", to.Member, "reason", string(a.Reason), "error", errorText(err))
	if err == nil {
		g.members.hub.Broadcast(wire.GoAway{Reason: "rate group handed over", Keepers: []wire.GroupKeeper{groupKeeper(a.Claim)}})
	}
	g.step(func(now time.Time) []ratelimit.Action { return g.claims.HandedOver(now, a.Claim, err == nil) })
}

// sendState sends the state of a group to the keeper that the claim names.
func (g *rateGroups) sendState(state []byte, a *ratelimit.HandOver) error {
	claim, err := ratelimit.EncodeClaim(a.Claim)
	if err != nil {
		return err
	}
	data, err := cbor.Marshal(groupState{State: state, Claim: claim, Offset: a.Offset})
	if err != nil {
		return err
	}
	return g.handover.sendPart(context.Background(), a.Claim.Keeper.Member, handoverGroups, data, false)
}

// takeOverGroup accepts the state of a group from its previous keeper.
func (g *rateGroups) takeOverGroup(data []byte) error {
	var handed groupState
	if err := cbor.Unmarshal(data, &handed); err != nil {
		return err
	}
	claim, err := ratelimit.DecodeClaim(handed.Claim, g.groupCount)
	if err != nil {
		return err
	}
	g.step(func(now time.Time) []ratelimit.Action {
		actions, taken := g.claims.StateReceived(now, handed.Offset, claim)
		if taken {
			g.received[claim.Group] = handed.State
		} else {
			err = errClaimOutdated
		}
		return actions
	})
	return err
}

// handOverAll hands all groups over for a planned stop. If no member takes them or
// the platform is down, this daemon grants tokens until it stops, and the groups
// have no keeper after that. The successor cannot go on without a claim on the log,
// because another member may claim the group as soon as it sees that the keeper is
// dead.
func (g *rateGroups) handOverAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverAllTimeout)
	defer cancel()
	g.step(func(now time.Time) []ratelimit.Action { return g.claims.BeginStop(now) })
	err := waitFor(ctx, handoverRetryDelay, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.claims.KeptGroups() == 0
	})
	if err != nil {
		logging.InfoEvent("rates", "groups-not-handed-over", "error", err.Error())
	}
}

// status returns the keepers of all groups for which a claim has been read.
func (g *rateGroups) status() []GroupStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	var status []GroupStatus
	for group := range g.groupCount {
		if claim, ok := g.claims.Keeper(group); ok {
			status = append(status, GroupStatus{Group: group, Keeper: claim.Keeper.Member, Epoch: claim.Epoch})
		}
	}
	return status
}
