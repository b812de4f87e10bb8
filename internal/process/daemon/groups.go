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

// Times of keeping rate groups.
const (
	claimAppendTimeout = 5 * time.Second
	deathProbeTimeout  = time.Second
	giveUpTimeout      = 5 * time.Second
	membersTimeout     = 10 * time.Second
)

// groups is this daemon as a keeper of rate groups. Its lock guards claims,
// keepers, received and workspaces.
type groups struct {
	self     ratelimit.DaemonID
	members  *members
	log      platform.Log
	handover *handover
	count    uint32
	pollWait time.Duration
	// expectMembers is true if other members may run; see Daemon.
	expectMembers bool

	mu      sync.Mutex
	claims  *ratelimit.Claims
	keepers map[uint32]*ratelimit.Keeper
	// received holds the states that stopping keepers handed over, until this
	// daemon starts to grant.
	received   map[uint32][]byte
	workspaces []tables.Workspace
}

func newGroups(self ratelimit.Member, members *members, log platform.Log, cfg Config, rng *rand.Rand) *groups {
	return &groups{
		self:     self.ID,
		members:  members,
		log:      log,
		count:    cfg.RateGroups,
		pollWait: cfg.PollWait,
		claims:   ratelimit.NewClaims(self, cfg.RateGroups, cfg.Retention, rng),
		keepers:  make(map[uint32]*ratelimit.Keeper),
		received: make(map[uint32][]byte),
	}
}

// keeperOf returns the keeper of a group that holders should ask.
func (g *groups) keeperOf(group uint32) (ratelimit.DaemonID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.claims.Asked(time.Now(), group)
}

// awaitMembers waits, for a limited time, until this daemon has learned who is
// alive. Before that every keeper looks missing, and a daemon that has just
// restarted would claim the groups of live keepers whose successor it is.
func (g *groups) awaitMembers(ctx context.Context) {
	if !g.expectMembers {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	if waitFor(ctx, servicePoll, g.members.synchronized) != nil {
		logging.WarningEvent("rates", "claiming-without-members")
	}
}

// allKnown tells whether a keeper of each group is known.
func (g *groups) allKnown() bool {
	for group := range g.count {
		if _, ok := g.keeperOf(group); !ok {
			return false
		}
	}
	return true
}

// known returns the keepers of all groups of which a claim was read.
func (g *groups) known() []wire.GroupKeeper {
	g.mu.Lock()
	defer g.mu.Unlock()
	var known []wire.GroupKeeper
	for group := range g.count {
		if claim, ok := g.claims.Keeper(group); ok {
			known = append(known, groupKeeper(claim))
		}
	}
	return known
}

// groupKeeper names the keeper of a claim.
func groupKeeper(claim ratelimit.Claim) wire.GroupKeeper {
	return wire.GroupKeeper{
		Group: claim.Group, Member: claim.Keeper.Member, Incarnation: claim.Keeper.Incarnation, Epoch: claim.Epoch,
	}
}

// hint takes the keepers that a peer named.
func (g *groups) hint(keepers []wire.GroupKeeper) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, k := range keepers {
		g.claims.Hint(k.Group, ratelimit.DaemonID{Member: k.Member, Incarnation: k.Incarnation}, k.Epoch)
	}
}

// grant answers a holder's request.
func (g *groups) grant(now time.Time, holder ratelimit.DaemonID, request *wire.GrantRequest) wire.GrantReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	keeper, ok := g.keepers[request.Group]
	if !ok {
		reply := wire.GrantReply{Number: request.Number, Group: request.Group, Refused: string(ratelimit.GrantNotKeeper)}
		if request.Group < g.count {
			// A holder may not have read the claim of the new keeper yet.
			if claim, ok := g.claims.Keeper(request.Group); ok && claim.Keeper != g.self {
				reply.Keepers = []wire.GroupKeeper{groupKeeper(claim)}
			}
		}
		return reply
	}
	reply, _ := keeper.Grant(now, g.claims.Right(request.Group), holder, request)
	return reply
}

// setLimits applies the limits of a new version.
func (g *groups) setLimits(now time.Time, workspaces []tables.Workspace) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.workspaces = workspaces
	for _, keeper := range g.keepers {
		keeper.SetLimits(now, workspaces)
	}
}

// follow reads the keepers stream until ctx ends.
func (g *groups) follow(ctx context.Context) {
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
		g.step(func(now time.Time) []ratelimit.Action { return g.claims.ReadBatch(now, begun, batch) })
	}
}

// tick lets time pass for the claims until ctx ends.
func (g *groups) tick(ctx context.Context) {
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
				g.claims.Members(members)
			}
			return g.claims.Tick(now)
		})
	}
}

// aliveMembers translates the membership view.
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

// step runs an event of the claims under the lock and carries out its actions.
// Keepers start and stop under the lock, so that no grant is made in between.
func (g *groups) step(event func(now time.Time) []ratelimit.Action) {
	now := time.Now()
	g.mu.Lock()
	actions := event(now)
	for _, action := range actions {
		switch a := action.(type) {
		case *ratelimit.StartGranting:
			g.startGranting(now, a)
		case *ratelimit.StopGranting:
			delete(g.keepers, a.Group)
			logging.Event("rates", "group-stopped", "group", a.Group, "reason", string(a.Reason))
		}
	}
	g.mu.Unlock()
	for _, action := range actions {
		g.carryOut(action)
	}
}

// startGranting makes the keeper of a group. The caller holds the lock.
func (g *groups) startGranting(now time.Time, a *ratelimit.StartGranting) {
	keeper := ratelimit.NewKeeper(a.Group, g.count, a.Epoch)
	if a.FromState {
		taken, err := ratelimit.TakeOver(now, g.received[a.Group], a.Epoch)
		if err == nil {
			keeper = taken
		}
		logging.Event("rates", "group-taken-over", "group", a.Group, "error", errorText(err))
	}
	delete(g.received, a.Group)
	keeper.SetLimits(now, g.workspaces)
	g.keepers[a.Group] = keeper
	logging.Event("rates", "group-started", "group", a.Group, "epoch", a.Epoch, "reason", string(a.Reason))
}

// carryOut performs an action that needs no lock.
func (g *groups) carryOut(action ratelimit.Action) {
	switch a := action.(type) {
	case *ratelimit.AppendClaim:
		go g.appendClaim(a)
	case *ratelimit.AskConsent:
		go g.askConsent(a)
	case *ratelimit.ProbeDeath:
		go g.probeDeath(a)
	case *ratelimit.HandOver:
		go g.handOver(a)
	}
}

// appendClaim appends a claim and reports the outcome.
func (g *groups) appendClaim(a *ratelimit.AppendClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), claimAppendTimeout)
	defer cancel()
	data, err := ratelimit.EncodeClaim(a.Claim)
	if err == nil {
		_, err = g.log.Append(ctx, platform.StreamKeepers, data)
	}
	logging.Event("rates", "group-claim", "group", a.Claim.Group, "epoch", a.Claim.Epoch, "keeper", a.Claim.Keeper.Member,
		"successor", a.Claim.Successor.Member, "reason", string(a.Reason), "error", errorText(err))
	g.step(func(now time.Time) []ratelimit.Action {
		g.claims.Appended(now, a.Claim, err)
		return nil
	})
}

func (g *groups) askConsent(a *ratelimit.AskConsent) {
	ctx, cancel := context.WithTimeout(context.Background(), reconnectTimeout)
	defer cancel()
	if link, err := g.members.link(ctx, a.To.Member); err == nil {
		_ = link.Send(a.Request)
	}
}

// onConsentRequest answers a keeper that names this daemon as its successor.
func (g *groups) onConsentRequest(link peer.Link, m *wire.ConsentRequest) {
	g.mu.Lock()
	reply := g.claims.ConsentRequest(time.Now(), daemonOf(link), m)
	g.mu.Unlock()
	_ = link.Send(reply)
}

func (g *groups) onConsentReply(link peer.Link, m *wire.ConsentReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.claims.ConsentReply(daemonOf(link), m)
}

func daemonOf(link peer.Link) ratelimit.DaemonID {
	identity := link.Peer()
	return ratelimit.DaemonID{Member: identity.Member, Incarnation: identity.Incarnation}
}

// probeDeath connects to a keeper's address. A refused connection or another
// incarnation that answers there proves that the keeper is dead.
func (g *groups) probeDeath(a *ratelimit.ProbeDeath) {
	ctx, cancel := context.WithTimeout(context.Background(), deathProbeTimeout)
	defer cancel()
	identity, err := g.members.hub.Probe(ctx, a.Address)
	dead := errors.Is(err, syscall.ECONNREFUSED) ||
		err == nil && identity.Member == a.Keeper.Member && identity.Incarnation > a.Keeper.Incarnation
	logging.Event("rates", "keeper-probed", "keeper", a.Keeper.Member, "reason", string(a.Reason), "dead", dead, "error", errorText(err))
	if dead {
		g.died(a.Keeper)
	}
}

// died takes the proof that a daemon is dead.
func (g *groups) died(id ratelimit.DaemonID) {
	g.step(func(now time.Time) []ratelimit.Action {
		g.claims.Died(now, id)
		return nil
	})
}

// groupState is the content of a wire.Handover of a rate group: the state of the
// old keeper and the claim that names the new one.
type groupState struct {
	State  []byte          `cbor:"2,keyasint"`
	Claim  []byte          `cbor:"3,keyasint"`
	Offset platform.Offset `cbor:"4,keyasint"`
}

// handOver ends the keeper of a group, sends its state to the new one and tells
// the peers whom to ask.
func (g *groups) handOver(a *ratelimit.HandOver) {
	group, to := a.Claim.Group, a.Claim.Keeper
	g.mu.Lock()
	keeper, ok := g.keepers[group]
	var state []byte
	err := errHandoverRefused
	if ok {
		state, err = keeper.HandOver(time.Now())
	}
	g.mu.Unlock()
	if err == nil {
		err = g.sendState(state, a)
	}
	logging.Event("rates", "group-handed-over", "group", group, "to", to.Member, "reason", string(a.Reason), "error", errorText(err))
	if err == nil {
		g.members.hub.Broadcast(wire.GoAway{Reason: "rate group handed over", Keepers: []wire.GroupKeeper{groupKeeper(a.Claim)}})
	}
	g.step(func(now time.Time) []ratelimit.Action { return g.claims.HandedOver(now, a.Claim, err == nil) })
}

// sendState sends the state of a group to the keeper that the claim names.
func (g *groups) sendState(state []byte, a *ratelimit.HandOver) error {
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

// takeOver takes the state of a group that the keeper before handed over.
func (g *groups) takeOver(data []byte) error {
	var handed groupState
	if err := cbor.Unmarshal(data, &handed); err != nil {
		return err
	}
	claim, err := ratelimit.DecodeClaim(handed.Claim, g.count)
	if err != nil {
		return err
	}
	g.step(func(now time.Time) []ratelimit.Action {
		actions, taken := g.claims.StateReceived(now, handed.Offset, claim)
		if taken {
			g.received[claim.Group] = handed.State
		} else {
			err = errHandoverRefused
		}
		return actions
	})
	return err
}

// leave hands all groups over, for a planned stop. If nobody takes them or the
// platform is down, they end with this daemon, which grants until then. Nobody
// may grant without a claim on the log, since other members may claim a group as
// soon as they see that its keeper is dead.
func (g *groups) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, giveUpTimeout)
	defer cancel()
	g.step(func(now time.Time) []ratelimit.Action { return g.claims.Leave(now) })
	err := waitFor(ctx, handoverRetryDelay, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.claims.Kept() == 0
	})
	if err != nil {
		logging.Event("rates", "groups-not-handed-over", "error", err.Error())
	}
}

// status names the keepers of all groups.
func (g *groups) status() []GroupStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	var status []GroupStatus
	for group := range g.count {
		if claim, ok := g.claims.Keeper(group); ok {
			status = append(status, GroupStatus{Group: group, Keeper: claim.Keeper.Member, Epoch: claim.Epoch})
		}
	}
	return status
}
