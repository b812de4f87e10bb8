package agent

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/rateshare"
	"tarragonshore.example/tarragonshore/internal/request/shedding"
	"tarragonshore.example/tarragonshore/internal/version/catalog"
)

// denseFleet returns a fleet whose members report runs of many routes that all call each
// other, arrivals of many importances and the usage of many workspaces.
func denseFleet(g *WithT, routes, workspaces int) (*fleet, *catalog.Catalog) {
	f := newFleet("m-0", "z", 1, rateshare.Tolerance{})
	content := catalog.Content{Version: 1}
	now := time.Now()
	for r := range routes {
		name, service := fmt.Sprint("route-", r), fmt.Sprint("service-", r/20)
		content.Routes = append(content.Routes, catalog.Route{Name: name, Host: "h", PathPrefix: "/" + name + "/", Shares: []catalog.Share{{Service: service, Weight: 1}}})
		run := shedding.RunReport{Route: name, Rate: 10, ServiceTime: 10 * time.Millisecond}
		for called := range routes {
			run.Calls = append(run.Calls, shedding.Calls{Route: fmt.Sprint("route-", called), PerRun: 0.1})
		}
		s := &wire.Status{Member: fmt.Sprint("m-", r), Address: "a", Incarnation: 1, Number: 1, Zone: fmt.Sprint("z-", r%3), Server: fmt.Sprint("i-", r), Service: service,
			State: wire.ServerReady, Load: wire.Load{Limit: 10}, Runs: []shedding.RunReport{run}}
		for i := range uint8(64) {
			s.Arrivals = append(s.Arrivals, shedding.Arrivals{Route: name, Importance: i, Rate: 1})
		}
		for w := range workspaces {
			s.Usage = append(s.Usage, wire.WorkspaceUsage{Workspace: fmt.Sprint("w-", w), Demand: 10, Admitted: 5})
		}
		f.applyStatus(now, s)
	}
	for w := range workspaces {
		content.Workspaces = append(content.Workspaces, catalog.Workspace{Name: fmt.Sprint("w-", w), Rate: 100, Burst: 100})
	}
	c, err := catalog.New(content)
	g.Expect(err).NotTo(HaveOccurred())
	return f, c
}

// Guards against a computation of the plan that requests have to wait for: its duration grows
// with the routes, the calls between them and the workspaces, and it held the lock of the fleet
// from its beginning to its end (review/6).
func TestRequestsDoNotWaitForThePlan(t *testing.T) {
	g := NewWithT(t)
	f, c := denseFleet(g, 150, 400)
	f.replan(time.Now(), c)
	done := make(chan time.Duration)
	go func() {
		begun := time.Now()
		for range 3 {
			f.replan(time.Now(), c)
		}
		done <- time.Since(begun)
	}()
	var longest time.Duration
	for requests := 0; ; requests++ {
		select {
		case took := <-done:
			g.Expect(requests).To(BeNumerically(">", 20), "requests that went on during three computations, which took %s", took)
			g.Expect(longest).To(BeNumerically("<", took/4), "the longest wait of a request, where the computations took %s", took)
			return
		default:
		}
		begun := time.Now()
		f.admit(begun, "route-1", 3)
		f.takeToken(begun, "w-1", rateshare.Limit{Rate: 100, Burst: 100}, 0)
		longest = max(longest, time.Since(begun))
		time.Sleep(100 * time.Microsecond)
	}
}

// Guards against a planner that leaves requests no processor: a computation is followed by a
// pause of several times its duration.
func TestPlannerPauses(t *testing.T) {
	g := NewWithT(t)
	for took := time.Millisecond; took < 10*time.Second; took *= 2 {
		wait := planPause(took)
		g.Expect(wait).To(BeNumerically(">=", planRest*took))
		g.Expect(took + wait).To(BeNumerically(">=", planInterval))
	}
	g.Expect(planPause(time.Millisecond)).To(Equal(planInterval-time.Millisecond), "as often as planned if it is fast")
}
