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

// Requests that are charged each second at one daemon: the design's 230,000
// calls/s over 1,100 daemons if no call has further calls, and a tenth of that
// if every request's tree has ten calls.
const (
	mostTakes  = 209
	leastTakes = 21
)

func workspaceName(i int) string { return fmt.Sprintf("workspace-%04d", i) }

func workspaceRows(count int) []tables.Workspace {
	rows := make([]tables.Workspace, count)
	for i := range rows {
		rows[i] = tables.Workspace{Name: workspaceName(i), Rate: 230_000 / float64(count), Burst: 230_000 / count}
	}
	return rows
}

// ratesSlopes runs one holder against the keepers of all groups in virtual time.
func ratesSlopes(_ context.Context, r *report) error {
	for _, takes := range []int{leastTakes, mostTakes} {
		for _, groups := range []uint32{8, 64} {
			for _, active := range []int{1, 8, 100} {
				if err := holderSlopes(r, takes, groups, active); err != nil {
					return err
				}
			}
		}
	}
	now, far := time.Unix(1_800_000_000, 0), time.Unix(1_900_000_000, 0)
	for _, count := range []int{100, 300, 1000} {
		size := fmt.Sprintf("%d workspaces in 1 group", count)
		rows := workspaceRows(count)
		before := retained()
		k := ratelimit.NewKeeper(0, 1, 1)
		k.SetLimits(now, rows)
		r.add(size, "keeper memory per workspace", (retained()-before)/float64(count), "B")
		before = retained()
		h := ratelimit.NewHolder(1, mathrand.New(mathrand.NewPCG(1, 1)))
		h.SetLimits(now, rows)
		r.add(size, "holder memory per workspace", (retained()-before)/float64(count), "B")
		now := now.Add(time.Second)
		before = retained()
		for i := range designServers {
			request := wire.GrantRequest{Number: 1, Entries: []wire.GrantEntry{{Workspace: workspaceName(i % count), Want: 1}}}
			k.Grant(now, far, ratelimit.DaemonID{Member: fmt.Sprintf("host-%04d", i), Incarnation: 1}, &request)
		}
		r.add(size, "keeper memory per grant", (retained()-before)/designServers, "B")
		number := uint64(1)
		request := wire.GrantRequest{Entries: []wire.GrantEntry{{Workspace: workspaceName(1), Want: 1}}}
		id := ratelimit.DaemonID{Member: "host-0001", Incarnation: 2}
		r.operation(size, "grant of 1 entry", func() {
			number++
			now = now.Add(10 * time.Microsecond)
			request.Number = number
			k.Grant(now, far, id, &request)
		})
		runtime.KeepAlive(k)
		runtime.KeepAlive(h)
	}
	return nil
}

func holderSlopes(r *report, perSecond int, groups uint32, active int) error {
	const seconds = 10
	now, far := time.Unix(1_800_000_000, 0), time.Unix(1_900_000_000, 0)
	h := ratelimit.NewHolder(groups, mathrand.New(mathrand.NewPCG(1, 1)))
	rows := workspaceRows(active)
	h.SetLimits(now, rows)
	keepers := make([]*ratelimit.Keeper, groups)
	for i := range keepers {
		keepers[i] = ratelimit.NewKeeper(uint32(i), groups, 1)
		keepers[i].SetLimits(now, rows)
	}
	id := ratelimit.DaemonID{Member: "host-0001", Incarnation: 1}
	var messages, entries, bytes, takes, waits int
	exchange := func() error {
		requests := h.Requests(now)
		for i := range requests {
			reply, _ := keepers[requests[i].Group].Grant(now, far, id, &requests[i])
			for _, m := range []wire.Message{requests[i], reply} {
				frame, err := wire.Encode(m)
				if err != nil {
					return err
				}
				bytes += len(frame)
			}
			messages += 2
			entries += len(requests[i].Entries)
			h.Apply(now, &reply)
		}
		return nil
	}
	rng := mathrand.New(mathrand.NewPCG(2, 2))
	now = now.Add(5 * time.Second) // buckets fill
	for tick := range int(seconds * time.Second / ratelimit.Tick) {
		now = now.Add(ratelimit.Tick)
		for range perSecond*(tick+1)/100 - perSecond*tick/100 {
			takes++
			name := workspaceName(rng.IntN(active))
			for d := h.Take(now, name); d.Verdict == ratelimit.MustAsk; d = h.TakeAgain(now, name, now) {
				waits++
				if err := exchange(); err != nil {
					return err
				}
			}
		}
		if err := exchange(); err != nil {
			return err
		}
	}
	size := fmt.Sprintf("%d takes/s %d groups %d workspaces", perSecond, groups, active)
	r.add(size, "grant messages both ways", float64(messages)/seconds, "1/s")
	r.add(size, "grant bytes both ways", float64(bytes)/seconds, "B/s")
	r.add(size, "entries per request", float64(entries)/float64(max(messages/2, 1)), "")
	r.add(size, "waits per take", float64(waits)/float64(takes), "")
	return nil
}

// claimsSlopes reports the cost of watching the keepers of all groups.
func claimsSlopes(_ context.Context, r *report) error {
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
		before := retained()
		c := ratelimit.NewClaims(members[designServers-1], groups, retention, mathrand.New(mathrand.NewPCG(1, 1)))
		c.Members(members)
		c.ReadBatch(now, now, batch)
		r.add(size, "claims memory", retained()-before, "B")
		r.operation(size, "claims step", func() {
			now = now.Add(ratelimit.ClaimsTick)
			c.Members(members)
			c.Tick(now)
		})
		runtime.KeepAlive(c)
	}
	return nil
}

// ticketsSlopes reports the cost of tickets that were used.
func ticketsSlopes(_ context.Context, r *report) error {
	for _, count := range []int{1000, 5000, 20_000} {
		size := fmt.Sprintf("%d used tickets", count)
		now := time.Unix(1_800_000_000, 0)
		home, err := ticket.NewHome(ticket.Owner{Home: "host-0001", Incarnation: 1}, ticket.DefaultOptions(), rand.Reader)
		if err != nil {
			return err
		}
		use := func() error {
			issued, err := home.Issue(now, "workspace-0001")
			if err != nil {
				return err
			}
			parsed, err := ticket.Parse(issued.String())
			if err != nil {
				return err
			}
			d := home.Begin(now, ticket.Use{Ticket: parsed, Workspace: "workspace-0001", Deadline: now.Add(time.Second)})
			if err := home.Dispatched(d.Key, wire.AttemptID{}, "server-0001"); err != nil {
				return err
			}
			return home.Complete(d.Key, wire.AttemptID{}, &wire.Response{Status: 201, Body: make([]byte, 200)})
		}
		before, used := retained(), processorTime()
		for range count {
			if err := use(); err != nil {
				return err
			}
		}
		r.add(size, "issue, parse, begin and complete", (processorTime()-used).Seconds()*1e6/float64(count), "us")
		r.add(size, "memory per ticket, 200 B answer", (retained()-before)/float64(count), "B")
		runtime.KeepAlive(home)
	}
	return nil
}
