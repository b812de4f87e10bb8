package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"tarragonshore.example/tarragonshore/internal/process/testbed"
)

// Parameters of the latency measurement.
const (
	latencyPool      = "work"
	latencyEntryPool = "entry"
	latencyDeadline  = 2 * time.Second
	// latencySlots is far above the number of concurrent requests, so that no
	// request is queued.
	latencySlots = 64
	// latencyRateFactor is the ratio of the workspace's rate limit to its demand. It is
	// above 1, so that each request is charged and none is refused.
	latencyRateFactor = 4
	// latencySpinTime is the last part of the wait for a send, which the driver spends in
	// a busy loop. Timers of an idle process fire up to 1 ms late, which is as much as
	// the latency to be measured.
	latencySpinTime = 1500 * time.Microsecond
	// phaseWarmUp and phaseMeasured are the indexes of the phases.
	phaseWarmUp   = 0
	phaseMeasured = 1
)

// latencyOptions holds the flags of the subcommand latency.
type latencyOptions struct {
	seed             uint64
	rate             float64
	warmUp, duration time.Duration
	service          time.Duration
	bin, out         string
}

// PathLatency holds the latency of the calls on one path, in milliseconds since
// the scheduled send time.
type PathLatency struct {
	Path     string  `json:"path"`
	Requests int     `json:"requests"`
	Good     int     `json:"good"`
	P50MS    float64 `json:"p50_ms"`
	P90MS    float64 `json:"p90_ms"`
	P99MS    float64 `json:"p99_ms"`
	// AddedP50MS and the following are the percentiles of this path minus those of
	// the direct path.
	AddedP50MS float64 `json:"added_p50_ms"`
	AddedP90MS float64 `json:"added_p90_ms"`
	AddedP99MS float64 `json:"added_p99_ms"`
	// Kinds counts the requests by outcomeName.
	Kinds map[string]int `json:"kinds"`
}

// LatencyReport compares calls through daemons with direct calls to the same
// backend server in the same run.
type LatencyReport struct {
	Seed          uint64        `json:"seed"`
	RatePerPath   float64       `json:"rate_per_path"`
	Seconds       float64       `json:"seconds"`
	ServiceTimeMS float64       `json:"service_ms"`
	Paths         []PathLatency `json:"paths"`
}

func latencyCommand() *cobra.Command {
	var o latencyOptions
	command := &cobra.Command{
		Use:   "latency",
		Short: "Measures the latency that daemons add to a call, against direct calls to the same backend server",
		Long: "Starts a backend server with its daemon and a second daemon, and sends open-loop calls to the backend\n" +
			"server directly, through its own daemon (local) and through the second daemon (one-hop), all at the same time.",
		Example: "  tarragon-load latency --rate 100 --duration 20s --seed 1",
		Args:    cobra.NoArgs,
		RunE:    func(command *cobra.Command, _ []string) error { return latency(command.Context(), o) },
	}
	flags := command.Flags()
	flags.Uint64Var(&o.seed, "seed", 1, "seed of the arrivals")
	flags.Float64Var(&o.rate, "rate", 100, "mean requests per second on each path")
	flags.DurationVar(&o.warmUp, "warm-up", 5*time.Second, "time before the measurement")
	flags.DurationVar(&o.duration, "duration", 20*time.Second, "time of the measurement")
	flags.DurationVar(&o.service, "service", 0, "constant service time of the backend server")
	flags.StringVar(&o.bin, "bin", "", "directory of the programs; empty builds them from this module")
	flags.StringVar(&o.out, "out", "out", "directory for logs and the report")
	return command
}

// latency runs the measurement, prints the report and writes it to latency.json.
func latency(ctx context.Context, o latencyOptions) error {
	if o.rate <= 0 || o.duration <= 0 || o.warmUp <= 0 {
		return &ScenarioError{File: "command line", Section: "latency", Key: "rate", Remedy: "set rate, warm-up and duration above 0"}
	}
	out, bin, err := prepareDirectories(o.out, o.bin)
	if err != nil {
		return err
	}
	report, err := MeasureLatency(ctx, o, bin, filepath.Join(out, "latency"))
	if err != nil {
		return err
	}
	report.WriteTable(os.Stdout)
	content, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(out, "latency.json"), content, 0o644)
}

// latencyScenario returns a scenario with one backend server that serves the calls,
// and a host of another pool whose daemon is one hop away from it.
func latencyScenario(o latencyOptions) *Scenario {
	serviceMS := o.service.Seconds() * 1000
	rate := latencyRateFactor * 2 * o.rate // two paths go through daemons
	return &Scenario{
		Name: "latency", Rate: o.rate, Deadline: latencyDeadline, Zones: 1,
		RequestLine: "GET /" + latencyPool + "/1",
		Services: []ServiceSpec{
			{Name: latencyPool, Upstreams: 1, Slots: []int{latencySlots}, ServiceTimeMS: serviceMS},
			{Name: latencyEntryPool, Upstreams: 1, Slots: []int{latencySlots}, ServiceTimeMS: serviceMS},
		},
		Workspaces: []WorkspaceSpec{{Name: "caller", Weight: 1, Rate: rate, Burst: int(rate)}},
		Phases: []Phase{
			phaseWarmUp:   {Name: "warm-up", Duration: o.warmUp, Demand: 1},
			phaseMeasured: {Name: "measured", Duration: o.duration, Demand: 1},
		},
	}
}

// MeasureLatency starts the processes and measures the latency of all paths.
func MeasureLatency(ctx context.Context, o latencyOptions, bin, dir string) (*LatencyReport, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	s := latencyScenario(o)
	spec := clusterSpec(s, SystemDaemons)
	for i := range spec.Services {
		spec.Services[i].ConstantServiceTime = true
	}
	cluster, err := testbed.New(dir, bin, spec)
	if err != nil {
		return nil, err
	}
	defer func() { _ = cluster.Stop() }()
	if err := startCluster(ctx, cluster, s, SystemDaemons); err != nil {
		return nil, fmt.Errorf("start: %w; see the logs in %s", err, dir)
	}
	return measurePaths(ctx, s, o, cluster)
}

// measurePaths sends calls on all paths at the same time, each from its own driver.
func measurePaths(ctx context.Context, s *Scenario, o latencyOptions, cluster *testbed.Cluster) (*LatencyReport, error) {
	work, entry := cluster.Host(latencyPool+"-1"), cluster.Host(latencyEntryPool+"-1")
	key := WorkspaceKey(s.Workspaces[0].Name)
	paths := []struct{ name, address, key string }{
		{"direct", work.BackendAddr, ""},
		{"local", work.Caller, key},
		{"one-hop", entry.Caller, key},
	}
	outcomes := make([][]Outcome, len(paths))
	var wg sync.WaitGroup
	for i, path := range paths {
		driver := NewDriver(s, Target{Addresses: []string{path.address}, Keys: []string{path.key}}, path.name)
		driver.spinTime = latencySpinTime
		arrivals := Arrivals(s, o.seed+uint64(i))
		wg.Go(func() { outcomes[i] = driver.Run(ctx, arrivals, func(int) {}) })
	}
	wg.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	report := &LatencyReport{Seed: o.seed, RatePerPath: o.rate, Seconds: o.duration.Seconds(), ServiceTimeMS: o.service.Seconds() * 1000}
	for i, path := range paths {
		report.Paths = append(report.Paths, summarizePath(path.name, outcomes[i]))
	}
	report.computeAdded()
	return report, nil
}

// summarizePath returns the latency of the calls of one path after the warm-up.
func summarizePath(name string, outcomes []Outcome) PathLatency {
	p := PathLatency{Path: name, Kinds: make(map[string]int)}
	histogram := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	for _, o := range outcomes {
		if o.Phase != phaseMeasured {
			continue
		}
		p.Requests++
		p.Kinds[outcomeName(o)]++
		if o.Good {
			p.Good++
			_ = histogram.RecordValue(min(o.Latency, maxLatency).Microseconds())
		}
	}
	p.P50MS = float64(histogram.ValueAtQuantile(50)) / 1000
	p.P90MS = float64(histogram.ValueAtQuantile(90)) / 1000
	p.P99MS = float64(histogram.ValueAtQuantile(99)) / 1000
	return p
}

// computeAdded computes the differences of the percentiles from the first path,
// which is the direct one.
func (r *LatencyReport) computeAdded() {
	direct := r.Paths[0]
	for i := range r.Paths {
		p := &r.Paths[i]
		p.AddedP50MS = p.P50MS - direct.P50MS
		p.AddedP90MS = p.P90MS - direct.P90MS
		p.AddedP99MS = p.P99MS - direct.P99MS
	}
}

// WriteTable prints the report as text.
func (r *LatencyReport) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "latency seed=%d rate_per_path=%g seconds=%g service_ms=%g; added is the difference of the percentiles\n",
		r.Seed, r.RatePerPath, r.Seconds, r.ServiceTimeMS)
	fmt.Fprintf(w, "%-8s %8s %8s %8s %8s %8s %10s %10s %10s\n",
		"path", "requests", "good", "p50 ms", "p90 ms", "p99 ms", "added p50", "added p90", "added p99")
	for _, p := range r.Paths {
		fmt.Fprintf(w, "%-8s %8d %8d %8.3f %8.3f %8.3f %10.3f %10.3f %10.3f\n", p.Path, p.Requests, p.Good,
			p.P50MS, p.P90MS, p.P99MS, p.AddedP50MS, p.AddedP90MS, p.AddedP99MS)
	}
	for _, p := range r.Paths {
		fmt.Fprintf(w, "outcomes %s:%s\n", p.Path, formatKinds(p.Kinds))
	}
}
