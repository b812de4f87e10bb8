package daemon

import (
	"sync"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/ratelimit"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// groups is this daemon as a keeper of rate groups. Its lock guards keepers and
// workspaces.
type groups struct {
	self    ratelimit.HolderID
	members *members
	count   uint32

	mu         sync.Mutex
	keepers    map[uint32]*ratelimit.Keeper
	workspaces []tables.Workspace
}

func newGroups(self ratelimit.HolderID, members *members, count uint32) *groups {
	return &groups{self: self, members: members, count: count, keepers: make(map[uint32]*ratelimit.Keeper)}
}

// keeperOf returns the keeper of a group.
func (g *groups) keeperOf(uint32) (ratelimit.HolderID, bool) {
	view := g.members.service.View()
	if len(view.Members) == 0 {
		return ratelimit.HolderID{}, false
	}
	first := view.Members[0]
	return ratelimit.HolderID{Member: first.Name, Incarnation: first.Incarnation}, true
}

// grant answers a holder's request.
func (g *groups) grant(now time.Time, holder ratelimit.HolderID, request *wire.GrantRequest) wire.GrantReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	keeper, ok := g.keepers[request.Group]
	if !ok {
		keeper = ratelimit.NewKeeper(request.Group, g.count, 1)
		keeper.SetLimits(now, g.workspaces)
		g.keepers[request.Group] = keeper
	}
	reply, _ := keeper.Grant(now, now.Add(time.Hour), holder, request)
	return reply
}

func (g *groups) setLimits(now time.Time, workspaces []tables.Workspace) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.workspaces = workspaces
	for group := range g.count {
		if g.keepers[group] == nil {
			g.keepers[group] = ratelimit.NewKeeper(group, g.count, 1)
		}
		g.keepers[group].SetLimits(now, workspaces)
	}
}

func (g *groups) peerSeen(peer.Identity)                           {}
func (g *groups) onConsentRequest(peer.Link, *wire.ConsentRequest) {}
func (g *groups) onConsentReply(peer.Link, *wire.ConsentReply)     {}
func (g *groups) takeOver(time.Time, []byte) error                 { return errHandoverRefused }
func (g *groups) status() []GroupStatus                            { return nil }
