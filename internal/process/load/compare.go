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

// System selects the overload control between the callers and the backend servers.
type System string

// The systems that can be compared.
const (
	// SystemNone has no overload control: calls go to the backend servers in turn, with
	// up to directTries tries each, and the queues are long (longQueueLimit).
	SystemNone System = "none"
	// SystemStatic has a static concurrency limit: like SystemNone, but a backend
	// server rejects requests while as many as it has slots are waiting.
	SystemStatic System = "static-limit"
	// SystemDaemons is tarragonshore with the daemons of this version.
	SystemDaemons System = "tarragonshore"
	// SystemPrevious is tarragonshore with the daemons of an earlier version. All
	// other programs are of this version.
	SystemPrevious System = "previous"
)

// hasDaemons reports whether requests go through daemons.
func (s System) hasDaemons() bool { return s == SystemDaemons || s == SystemPrevious }

// Programs holds the directories of the programs to run.
type Programs struct {
	// Bin is the directory of all programs of this version.
	Bin string
	// Previous is the directory of the tarragond of SystemPrevious. It is not used
	// by other systems.
	Previous string
}

// Properties of the compared systems.
const (
	directTries       = 3
	longQueueLimit    = 100_000
	rateGroups        = 8
	appendsPerSecond  = 300
	retentionSeconds  = 24 * 3600
	clusterSettleTime = 3 * time.Second
	routeTimeout      = 10 * time.Second
)

// RunSystem starts a system on this machine, runs a scenario against it and returns
// the report. Logs and settings of the processes go to a subdirectory of dir.
func RunSystem(ctx context.Context, s *Scenario, system System, seed uint64, programs Programs, dir string, progress func(string)) (*Report, error) {
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

// clusterSpec returns the processes to start for a scenario and a system.
func clusterSpec(s *Scenario, system System) testbed.Spec {
	spec := testbed.Spec{
		Zones: s.Zones, RateGroups: rateGroups, AppendsPerSecond: appendsPerSecond,
		RetentionSeconds: retentionSeconds, Direct: !system.hasDaemons(), DirectTries: directTries,
		ZoneDelay: s.ZoneDelay, ConnectDelay: s.ConnectDelay,
	}
	for _, service := range s.Services {
		queueLimit := longQueueLimit
		if system == SystemStatic {
			queueLimit = 0
		}
		spec.Services = append(spec.Services, testbed.Service{
			Pool: service.Name, Upstreams: service.Upstreams, Slots: service.Slots,
			ServiceTimeMS: service.ServiceTimeMS, QueueLimit: queueLimit, Calls: service.Calls,
			IgnoreCancel: service.IgnoreCancel,
		})
	}
	return spec
}

// startCluster starts the processes of a system. With daemons, it also publishes the
// scenario's tables and waits until the system is in a steady state.
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
	time.Sleep(clusterSettleTime) // token buckets fill and the membership converges
	return nil
}

// WorkspaceKey returns the key that callers of a workspace send.
func WorkspaceKey(workspace string) string { return "load-key-" + workspace }

// FormatTables returns the routes and pools tables of a scenario.
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

// callerTarget returns where the callers send their requests: to all daemons, or,
// without daemons, to the backend servers of the service that the path in
// Scenario.RequestLine begins with.
func callerTarget(s *Scenario, cluster *testbed.Cluster, system System) Target {
	var t Target
	_, path, _ := strings.Cut(s.RequestLine, " /")
	pool, _, _ := strings.Cut(path, "/")
	for _, host := range cluster.Hosts {
		switch {
		case system.hasDaemons():
			t.Addresses = append(t.Addresses, host.Caller)
			t.Zones = append(t.Zones, host.Zone)
			t.ConnectDelay = s.ConnectDelay
		case host.Pool == pool:
			t.Addresses = append(t.Addresses, host.BackendAddr)
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

// applyFaults injects the faults of a phase and ends those of the previous one.
func applyFaults(ctx context.Context, cluster *testbed.Cluster, phase Phase) error {
	for _, host := range cluster.Hosts {
		faults := standin.BackendFaults{}
		if host.Pool == phase.SlowPool {
			faults.SlowFactor = phase.SlowFactor
		}
		if err := host.SetFaults(ctx, faults); err != nil {
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
	for _, host := range cluster.Hosts {
		report, err := host.Report(ctx)
		if err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	return reports, nil
}
