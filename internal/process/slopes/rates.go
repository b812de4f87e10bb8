package slopes

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"runtime"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/process/ratelimit"
	"tarragonshore.example/tarragonshore/internal/request/ticket"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Tokens that one daemon takes per second. The design has 230,000 calls/s over 1,100
// daemons. A token is taken for each caller's request, and none for the calls made on
// its behalf: the maximum holds if no request makes further calls, and the minimum if
// every request's call tree has ten calls.
const (
	maxTakesPerSecond = 209
	minTakesPerSecond = 21
)

func workspaceName(i int) string { return fmt.Sprintf("workspace-%04d", i) }

func workspaceRows(count int) []tables.Workspace {
	rows := make([]tables.Workspace, count)
	for i := range rows {
		rows[i] = tables.Workspace{Name: workspaceName(i), Rate: 230_000 / float64(count), Burst: 230_000 / count}
	}
	return rows
}

// measureRates reports the cost of token grants: the messages and refusals of simulated
// holders in virtual time, and the memory and CPU time of keepers and holders.
func measureRates(_ context.Context, r *report) error {
	for _, takes := range []int{minTakesPerSecond, maxTakesPerSecond} {
		for _, groups := range []uint32{8, 64} {
			for _, active := range []int{1, 8, 100} {
				if err := measureHolders(r, takes, groups, active); err != nil {
					return err
				}
			}
		}
	}
	now, leaseEnd := time.Unix(1_800_000_000, 0), time.Unix(1_900_000_000, 0)
	for _, count := range []int{100, 300, 1000} {
		size := fmt.Sprintf("%d workspaces in 1 group", count)
		rows := workspaceRows(count)
		before := liveMemory()
		k := ratelimit.NewKeeper(0, 1, 1)
		k.SetLimits(now, rows)
		r.add(size, "keeper memory per workspace", (liveMemory()-before)/float64(count), "B")
		before = liveMemory()
		h := ratelimit.NewHolder(1, mathrand.New(mathrand.NewPCG(1, 1)))
		h.SetLimits(now, rows)
		r.add(size, "holder memory per workspace", (liveMemory()-before)/float64(count), "B")
		now := now.Add(time.Second)
		before = liveMemory()
		for i := range designServers {
			request := wire.GrantRequest{Number: 1, Entries: []wire.GrantEntry{{Workspace: workspaceName(i % count), Want: 1}}}
			k.Grant(now, leaseEnd, ratelimit.DaemonID{Member: fmt.Sprintf("host-%04d", i), Incarnation: 1}, &request)
		}
		r.add(size, "keeper memory per grant", (liveMemory()-before)/designServers, "B")
		number := uint64(1)
		request := wire.GrantRequest{Entries: []wire.GrantEntry{{Workspace: workspaceName(1), Want: 1}}}
		id := ratelimit.DaemonID{Member: "host-0001", Incarnation: 2}
		r.benchmark(size, "grant of 1 entry", func() {
			number++
			now = now.Add(10 * time.Microsecond)
			request.Number = number
			k.Grant(now, leaseEnd, id, &request)
		})
		runtime.KeepAlive(k)
		runtime.KeepAlive(h)
	}
	return nil
}

// measureHolders reports the grant messages of one holder that has the rates of the
// whole fleet to itself, and the refusals of fleetHolders holders, a tenth of the fleet,
// whose load together is loadRatio of the workspaces' rates.
func measureHolders(r *report, perSecond int, groups uint32, active int) error {
	size := fmt.Sprintf("%d takes/s %d groups %d workspaces", perSecond, groups, active)
	single := newGrantSimulation(1, groups, workspaceRows(active))
	if err := single.run(perSecond); err != nil {
		return err
	}
	r.add(size, "grant messages both ways", float64(single.messages)/simulatedSeconds, "1/s")
	r.add(size, "grant bytes both ways", float64(single.bytes)/simulatedSeconds, "B/s")
	r.add(size, "entries per request", float64(single.entries)/float64(max(single.messages/2, 1)), "")
	r.add(size, "waits per take", float64(single.waits)/float64(single.takes), "")

	rows := workspaceRows(active)
	for i := range rows {
		rows[i].Rate = fleetHolders * float64(perSecond) / float64(active) / loadRatio
		rows[i].Burst = int(rows[i].Rate)
	}
	fleet := newGrantSimulation(fleetHolders, groups, rows)
	if err := fleet.run(perSecond); err != nil {
		return err
	}
	size += fmt.Sprintf(" %d holders", fleetHolders)
	r.add(size, "refused per take", float64(fleet.refused)/float64(fleet.takes), "")
	r.add(size, "waits per take", float64(fleet.waits)/float64(fleet.takes), "")
	r.add(size, "grant bytes both ways per holder", float64(fleet.bytes)/simulatedSeconds/fleetHolders, "B/s")
	return nil
}

const (
	simulatedSeconds = 10
	fleetHolders     = 110
	loadRatio        = 0.9
)

// grantSimulation simulates holders and the keepers of all rate groups in virtual time.
// Keepers respond without a delay.
type grantSimulation struct {
	now     time.Time
	rng     *mathrand.Rand
	rows    []tables.Workspace
	holders []*ratelimit.Holder
	keepers []*ratelimit.Keeper

	messages, entries, bytes, takes, waits, refused int
}

func newGrantSimulation(holders int, groups uint32, rows []tables.Workspace) *grantSimulation {
	g := &grantSimulation{now: time.Unix(1_800_000_000, 0), rng: mathrand.New(mathrand.NewPCG(2, 2)), rows: rows}
	for i := range holders {
		h := ratelimit.NewHolder(groups, mathrand.New(mathrand.NewPCG(1, uint64(i+1))))
		h.SetLimits(g.now, rows)
		g.holders = append(g.holders, h)
	}
	for i := range groups {
		k := ratelimit.NewKeeper(i, groups, 1)
		k.SetLimits(g.now, rows)
		g.keepers = append(g.keepers, k)
	}
	g.now = g.now.Add(5 * time.Second) // token buckets fill
	return g
}

// run makes each holder take perSecond tokens per second, of random workspaces.
func (g *grantSimulation) run(perSecond int) error {
	for tick := range int(simulatedSeconds * time.Second / ratelimit.HolderTick) {
		g.now = g.now.Add(ratelimit.HolderTick)
		for holder := range g.holders {
			for range perSecond*(tick+1)/100 - perSecond*tick/100 {
				if err := g.take(holder, g.rows[g.rng.IntN(len(g.rows))].Name); err != nil {
					return err
				}
			}
			if err := g.exchange(holder); err != nil {
				return err
			}
		}
	}
	return nil
}

// take takes one token at a holder. It exchanges grant messages while the holder has
// to wait for a grant.
func (g *grantSimulation) take(holder int, workspace string) error {
	h := g.holders[holder]
	g.takes++
	d := h.Take(g.now, workspace)
	if d.Verdict == ratelimit.AwaitGrant {
		g.waits++
	}
	for ; d.Verdict == ratelimit.AwaitGrant; d = h.RetryTake(g.now, workspace, g.now) {
		if err := g.exchange(holder); err != nil {
			return err
		}
	}
	if d.Verdict != ratelimit.Admitted {
		g.refused++
	}
	return nil
}

// exchange delivers the holder's grant requests to the keepers and their replies to
// the holder.
func (g *grantSimulation) exchange(holder int) error {
	h, leaseEnd := g.holders[holder], g.now.Add(time.Hour)
	id := ratelimit.DaemonID{Member: fmt.Sprintf("host-%04d", holder+1), Incarnation: 1}
	requests := h.GrantRequests(g.now)
	for i := range requests {
		reply, _ := g.keepers[requests[i].Group].Grant(g.now, leaseEnd, id, &requests[i])
		for _, m := range []wire.Message{requests[i], reply} {
			frame, err := wire.Encode(m)
			if err != nil {
				return err
			}
			g.bytes += len(frame)
		}
		g.messages += 2
		g.entries += len(requests[i].Entries)
		h.HandleReply(g.now, &reply)
	}
	return nil
}

// measureClaims reports the cost of tracking the keepers' claims of all groups.
func measureClaims(_ context.Context, r *report) error {
	for _, groups := range []uint32{8, 64, 1100} {
		size := fmt.Sprintf("%d groups 1100 members", groups)
		now := time.Unix(1_800_000_000, 0)
		members := make([]ratelimit.Member, designServers)
		for i := range members {
			members[i] = ratelimit.Member{ID: ratelimit.DaemonID{Member: fmt.Sprintf("host-%04d", i), Incarnation: 1}, Zone: fmt.Sprintf("zone-%d", i%10), Address: peerAddress(i).String()}
		}
		batch := platform.Batch{Next: platform.Offset(groups)}
		for i := range groups {
			data, err := ratelimit.EncodeClaim(ratelimit.Claim{
				ID: ratelimit.ClaimID{byte(i), byte(i >> 8), 1}, Kind: ratelimit.ClaimNew, Group: i, Epoch: 1, Started: true,
				Keeper: members[i%designServers].ID, Address: members[i%designServers].Address, Successor: members[(i+1)%designServers].ID,
			})
			if err != nil {
				return err
			}
			batch.Records = append(batch.Records, platform.Record{Offset: platform.Offset(i), Data: data})
		}
		r.add(size, "claim record", float64(len(batch.Records[0].Data)), "B")
		before := liveMemory()
		c := ratelimit.NewClaims(members[designServers-1], groups, retention, mathrand.New(mathrand.NewPCG(1, 1)))
		c.SetMembers(members)
		c.ApplyBatch(now, now, batch)
		r.add(size, "claims memory", liveMemory()-before, "B")
		r.benchmark(size, "claims step", func() {
			now = now.Add(ratelimit.ClaimsTick)
			c.SetMembers(members)
			c.Tick(now)
		})
		runtime.KeepAlive(c)
	}
	return nil
}

// measureTickets reports the cost of issuing and using tickets.
func measureTickets(_ context.Context, r *report) error {
	for _, count := range []int{1000, 5000, 20_000} {
		size := fmt.Sprintf("%d used tickets", count)
		now := time.Unix(1_800_000_000, 0)
		table, err := ticket.NewTable(ticket.DaemonID{Member: "host-0001", Incarnation: 1}, ticket.DefaultOptions(), rand.Reader)
		if err != nil {
			return err
		}
		use := func() error {
			issued, err := table.Issue(now, "workspace-0001")
			if err != nil {
				return err
			}
			parsed, err := ticket.Parse(issued.String())
			if err != nil {
				return err
			}
			d := table.Begin(now, ticket.TicketedRequest{Ticket: parsed, Workspace: "workspace-0001", Deadline: now.Add(time.Second)})
			if err := table.RecordAttempt(d.Key, wire.AttemptID{}, "server-0001"); err != nil {
				return err
			}
			return table.Complete(d.Key, wire.AttemptID{}, &wire.Response{Status: 201, Body: make([]byte, 200)})
		}
		before, used := liveMemory(), cpuTime()
		for range count {
			if err := use(); err != nil {
				return err
			}
		}
		r.add(size, "issue, parse, begin and complete", (cpuTime()-used).Seconds()*1e6/float64(count), "us")
		r.add(size, "memory per ticket, 200 B answer", (liveMemory()-before)/float64(count), "B")
		runtime.KeepAlive(table)
	}
	return nil
}
