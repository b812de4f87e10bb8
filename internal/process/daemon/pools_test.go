package daemon

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"tarragonshore.example/tarragonshore/internal/process/membership"
	"tarragonshore.example/tarragonshore/internal/request/execution"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// largeFleet returns a dispatcher, a view of 1,100 members in 10 zones, and tables
// with 130 pools: the size for which the daemon is designed.
func largeFleet(tb testing.TB) (*dispatcher, *membership.View, *tablesInForce) {
	var pools strings.Builder
	for i := range 130 {
		fmt.Fprintf(&pools, "[pool p%d]\n", i)
	}
	parsed, err := tables.Parse(nil, []byte(pools.String()))
	if err != nil {
		tb.Fatal(err)
	}
	view := &membership.View{}
	for i := range 1100 {
		m := &membership.Member{State: membership.StateAlive}
		m.Name, m.Zone = fmt.Sprintf("host-%04d", i), fmt.Sprintf("zone-%d", i%10)
		m.Servers = []membership.Server{{Name: "server-" + m.Name, Pool: fmt.Sprintf("p%d", i%130), State: membership.ServerReady}}
		view.Members = append(view.Members, m)
	}
	self := execution.Peer{Member: "host-0000", Incarnation: 1}
	return newDispatcher(self, "zone-0", nil, nil, rand.New(rand.NewPCG(1, 1))), view, &tablesInForce{Version: 1, Tables: parsed}
}

// Guards against upstreams that are missing from their pool, remain in a pool that
// they have left, or lack the member to which their attempts are sent.
func TestUpdatePoolsGivesEachPoolItsUpstreams(t *testing.T) {
	d, view, current := largeFleet(t)
	d.updatePools(view, current)
	moved := *view.Members[5]
	moved.Servers = []membership.Server{{Name: "server-host-0005", Pool: "p7", State: membership.ServerReady}}
	view.Members[5] = &moved
	d.updatePools(view, current)
	for i, want := range map[int]int{4: 9, 5: 8, 7: 10, 129: 8} {
		pool := d.pools[fmt.Sprintf("p%d", i)]
		if pool.table.Len() != want || len(pool.member) != want {
			t.Errorf("pool p%d has %d upstreams and %d members, not %d", i, pool.table.Len(), len(pool.member), want)
		}
	}
	if got := d.pools["p7"].member["server-host-0005"]; got != "host-0005" {
		t.Errorf("the member on the host of the moved server is %q, not host-0005", got)
	}
}

func BenchmarkUpdatePools(b *testing.B) {
	d, view, current := largeFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		d.updatePools(view, current)
	}
}
