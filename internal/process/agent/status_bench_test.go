package agent

import (
	"fmt"
	"testing"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/rateshare"
	"tarragonshore.example/tarragonshore/internal/request/shedding"
	"tarragonshore.example/tarragonshore/internal/version/catalog"
)

// statusOf returns a status like that of a busy daemon.
func statusOf(n, workspaces int) *wire.Status {
	s := &wire.Status{
		Member: fmt.Sprint("host-", n), Incarnation: 1, Address: "10.1.0.26:7000", Zone: "zone-a", Server: fmt.Sprint("i-", n),
		Service: fmt.Sprint("service-", n%4), State: wire.ServerReady, Load: wire.Load{Limit: 70, Running: 30, ServiceTime: 40 * time.Millisecond},
	}
	for r := range 2 {
		s.Runs = append(s.Runs, shedding.RunReport{Route: fmt.Sprint("r-route", r), Rate: 100, ServiceTime: 40 * time.Millisecond,
			Calls: []shedding.Calls{{Route: "r-called", PerRun: 4}}})
	}
	for r := range 4 {
		s.Arrivals = append(s.Arrivals, shedding.Arrivals{Route: fmt.Sprint("r-route", r), Importance: 9, Rate: 5})
	}
	for w := range workspaces {
		s.Usage = append(s.Usage, wire.WorkspaceUsage{Workspace: fmt.Sprint("work", w), Demand: 150, Admitted: 1000})
	}
	return s
}

// BenchmarkStatus measures the cost of receiving one status. docs/CAPACITY.md uses it
// to derive the cost per host.
func BenchmarkStatus(b *testing.B) {
	for _, size := range []struct{ hosts, workspaces int }{{15, 8}, {72, 78}} {
		b.Run(fmt.Sprintf("hosts-%d-workspaces-%d", size.hosts, size.workspaces), func(b *testing.B) {
			f := newFleet("host-0", "zone-a", 1, rateshare.Tolerance{})
			status := statusOf(1, size.workspaces)
			frame, err := wire.Encode(status)
			if err != nil {
				b.Fatal(err)
			}
			now := time.Now()
			for n := range size.hosts {
				f.applyStatus(now, statusOf(n, size.workspaces))
			}
			b.ReportMetric(float64(len(frame)), "frame-bytes")
			for n := range uint64(b.N) {
				message, err := wire.Decode(frame)
				if err != nil {
					b.Fatal(err)
				}
				s := message.(*wire.Status)
				s.Number = n + 1
				f.applyStatus(now, s)
			}
		})
	}
}

// BenchmarkReplan measures one computation of the shedding plan and the rate shares.
func BenchmarkReplan(b *testing.B) {
	for _, size := range []struct{ hosts, workspaces int }{{15, 8}, {72, 8}, {72, 78}, {1100, 8}} {
		hosts := size.hosts
		b.Run(fmt.Sprintf("hosts-%d-workspaces-%d", hosts, size.workspaces), func(b *testing.B) {
			f := newFleet("host-0", "zone-a", 1, rateshare.Tolerance{})
			now := time.Now()
			for n := range hosts {
				s := statusOf(n, size.workspaces)
				s.Number = 1
				f.applyStatus(now, s)
			}
			c := benchCatalog(b)
			for b.Loop() {
				f.replan(now, c)
			}
		})
	}
}

func benchCatalog(b *testing.B) *catalog.Catalog {
	content := catalog.Content{Version: 1}
	for r := range 4 {
		content.Routes = append(content.Routes, catalog.Route{Name: fmt.Sprint("r-route", r), Host: "h", PathPrefix: "/",
			Shares: []catalog.Share{{Service: fmt.Sprint("service-", r), Weight: 1}}})
	}
	for w := range 8 {
		content.Workspaces = append(content.Workspaces, catalog.Workspace{Name: fmt.Sprint("work", w), Rate: 100, Burst: 100})
	}
	c, err := catalog.New(content)
	if err != nil {
		b.Fatal(err)
	}
	return c
}
