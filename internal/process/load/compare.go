package load

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/standin"
	"tarragonshore.example/tarragonshore/internal/process/testbed"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// System names what stands between the callers and the backend servers.
type System string

// The systems that can be compared.
const (
	// SystemNone is no control: round robin, three tries per call, long queues.
	SystemNone System = "none"
	// SystemStatic is a static concurrency limit: as SystemNone, but a backend
	// server rejects what exceeds its slots.
	SystemStatic System = "static-limit"
	// SystemDaemons is tarragonshore.
	SystemDaemons System = "tarragonshore"
	// SystemPrevious is tarragonshore with the daemons of an earlier version.
	// All other programs are those of this version.
	SystemPrevious System = "previous"
)

// hasDaemons tells whether the system consists of daemons.
func (s System) hasDaemons() bool { return s == SystemDaemons || s == SystemPrevious }

// Programs holds directories of built programs.
type Programs struct {
	Bin string
	// Previous holds the tarragond of SystemPrevious; empty without that system.
	Previous string
}

// Constants of the compared systems.
const (
	directTries       = 3
	longQueueLimit    = 100_000
	rateGroups        = 8
	appendsPerSecond  = 300
	retentionSeconds  = 24 * 3600
	clusterSettleTime = 3 * time.Second
	routeTimeout      = 10 * time.Second
)

// Compare runs a scenario against a system that it starts on this machine.
func Compare(ctx context.Context, s *Scenario, system System, seed uint64, programs Programs, dir string, progress func(string)) (*Report, error) {
	dir = filepath.Join(dir, string(system))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	spec := clusterSpec(s, system)
	if system == SystemPrevious {
		spec.DaemonBin = programs.Previous
	}
	cluster, err := testbed.New(dir, programs.Bin, spec)
	if err != nil {
		return nil, err
	}
	defer func() { _ = cluster.Stop() }()
	if err := startCluster(ctx, cluster, s, system); err != nil {
		return nil, fmt.Errorf("start %s: %w; see the logs in %s", system, err, dir)
	}
	driver := NewDriver(s, callerTarget(s, cluster, system), fmt.Sprintf("%s-%d", s.Name, seed))
	arrivals := Arrivals(s, seed)
	progress(fmt.Sprintf("system=%s requests=%d duration=%s", system, len(arrivals), s.Total()))
	outcomes := driver.Run(ctx, arrivals, func(index int) {
		progress(fmt.Sprintf("system=%s phase=%s", system, s.Phases[index].Name))
		if err := applyFaults(ctx, cluster, s.Phases[index]); err != nil {
			progress("faults not applied: " + err.Error())
		}
	})
	report := NewReport(s, string(system), seed, outcomes)
	servers, err := fetchBackendReports(ctx, cluster)
	if err != nil {
		return nil, err
	}
	report.AddBackendReports(driver, outcomes, servers)
	return report, nil
}

// bedSpec describes the processes of a scenario.
func clusterSpec(s *Scenario, system System) testbed.Spec {
	spec := testbed.Spec{
		Zones: s.Zones, Groups: rateGroups, AppendsPerSecond: appendsPerSecond,
		RetentionSeconds: retentionSeconds, Direct: !system.hasDaemons(), DirectTries: directTries,
		ZoneDelay: s.ZoneDelay, ConnectDelay: s.ConnectDelay,
	}
	for _, service := range s.Services {
		queue := longQueueLimit
		if system == SystemStatic {
			queue = 0
		}
		spec.Services = append(spec.Services, testbed.Service{
			Pool: service.Name, Upstreams: service.Upstreams, Slots: service.Slots,
			ServiceTimeMS: service.ServiceTimeMS, QueueLimit: queue, Calls: service.Calls,
			IgnoreCancel: service.IgnoreCancel,
		})
	}
	return spec
}

func startCluster(ctx context.Context, cluster *testbed.Cluster, s *Scenario, system System) error {
	if !system.hasDaemons() {
		return cluster.StartBackends(ctx)
	}
	if err := cluster.Start(ctx); err != nil {
		return err
	}
	routes, pools := FormatTables(s)
	if err := cluster.PublishInitialTables(ctx, routes, pools); err != nil {
		return err
	}
	if err := cluster.WaitDaemonsReady(ctx); err != nil {
		return err
	}
	time.Sleep(clusterSettleTime) // buckets fill and members get to know each other
	return nil
}

// Key returns the key of a workspace in runs of this tool.
func WorkspaceKey(workspace string) string { return "load-key-" + workspace }

// Tables returns the routes and pools of a scenario.
func FormatTables(s *Scenario) (routes, pools string) {
	var r, p strings.Builder
	for _, service := range s.Services {
		fmt.Fprintf(&r, "[route %s]\npath = /%s\npool = %s\nidempotent = true\nimportance = 3\ntimeout = %s\n",
			service.Name, service.Name, service.Name, routeTimeout)
		fmt.Fprintf(&p, "[pool %s]\nwarm_up = 1s\n", service.Name)
	}
	for _, w := range s.Workspaces {
		fmt.Fprintf(&r, "[key %s]\nworkspace = %s\n", tables.DigestKey(WorkspaceKey(w.Name)), w.Name)
		fmt.Fprintf(&p, "[workspace %s]\nrate = %g\nburst = %d\n", w.Name, w.Rate, w.Burst)
	}
	return r.String(), p.String()
}

// targetOf returns where the callers send their requests: to all daemons, or
// without daemons to the backend servers of the entry service.
func callerTarget(s *Scenario, cluster *testbed.Cluster, system System) Target {
	var t Target
	_, path, _ := strings.Cut(s.Target, " /")
	pool, _, _ := strings.Cut(path, "/")
	for _, node := range cluster.Nodes {
		switch {
		case system.hasDaemons():
			t.Addresses = append(t.Addresses, node.Caller)
			t.Zones = append(t.Zones, node.Zone)
			t.ConnectDelay = s.ConnectDelay
		case node.Pool == pool:
			t.Addresses = append(t.Addresses, node.BackendAddr)
		}
	}
	for _, w := range s.Workspaces {
		key := ""
		if system.hasDaemons() {
			key = WorkspaceKey(w.Name)
		}
		t.Keys = append(t.Keys, key)
	}
	return t
}

// applyFaults puts the faults of a phase in force and ends all others.
func applyFaults(ctx context.Context, cluster *testbed.Cluster, phase Phase) error {
	for _, node := range cluster.Nodes {
		faults := standin.BackendFaults{}
		if node.Pool == phase.SlowPool {
			faults.SlowFactor = phase.SlowFactor
		}
		if err := node.SetFaults(ctx, faults); err != nil {
			return err
		}
	}
	if cluster.Platform == nil {
		return nil
	}
	faults := standin.PlatformFaults{}
	if phase.Outage {
		faults.Outage = standin.OutageRefuse
	}
	return cluster.SetPlatformFaults(ctx, faults)
}

func fetchBackendReports(ctx context.Context, cluster *testbed.Cluster) ([]standin.BackendReport, error) {
	var reports []standin.BackendReport
	for _, node := range cluster.Nodes {
		report, err := node.Report(ctx)
		if err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	return reports, nil
}
