package load

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tarragonshore.example/tarragonshore/internal/process/standin"
)

// Parameters of the report.
const (
	// windowLength is the length of the time windows in which goodput over time and
	// recovery are computed.
	windowLength = 200 * time.Millisecond
	// recoveredShare is the fraction of the first phase's success ratio that a
	// window must reach to count as recovered.
	recoveredShare = 0.95
	// steadyWindows is the number of successive windows that must reach recoveredShare
	// for the system to count as recovered.
	steadyWindows = 5
	// maxLatency is the upper end of the latency histograms.
	maxLatency = time.Minute
)

// PhaseReport holds the results of one phase: of the requests whose scheduled send time
// is in the phase, except for Served, which counts by arrival of the response.
type PhaseReport struct {
	Name     string  `json:"name"`
	Seconds  float64 `json:"seconds"`
	Requests int     `json:"requests"`
	Good     int     `json:"good"`
	// Goodput is the number of good requests per second.
	Goodput float64 `json:"goodput"`
	P50MS   float64 `json:"p50_ms"` // of good requests
	P99MS   float64 `json:"p99_ms"`
	// WorstShare is the smallest ratio of a workspace's goodput to its max-min fair
	// share of the phase's goodput; 0 without any goodput. Worst is the name of that
	// workspace.
	WorstShare float64 `json:"worst_share"`
	Worst      string  `json:"worst"`
	// Entitled counts the tries within their workspace's rate and burst, and
	// WronglyRefused those of them that were refused by rate limiting.
	Entitled       int `json:"entitled"`
	WronglyRefused int `json:"wrongly_refused"`
	// RecoverySeconds is the time from the start of the phase to the first of
	// steadyWindows successive windows whose success ratios are at least recoveredShare
	// of that of the first phase; -1 if there are none.
	RecoverySeconds float64 `json:"recovery_s"`
	// Served is the number of good responses per second that arrived in the phase.
	// Goodput may exceed the capacity of the servers, since it includes responses
	// that arrived after the phase.
	Served float64 `json:"served"`
	// ShareOfPeak is the ratio of Served to Report.Peak; 0 without a peak.
	ShareOfPeak float64 `json:"share_of_peak"`
	// Kinds counts the requests by outcomeName.
	Kinds map[string]int `json:"kinds"`
}

// Report holds the results of a run.
type Report struct {
	Scenario string        `json:"scenario"`
	System   string        `json:"system"`
	Seed     uint64        `json:"seed"`
	Phases   []PhaseReport `json:"phases"`
	// Peak is the greatest Served of the phases marked as peak phases; 0 without
	// such phases.
	Peak float64 `json:"peak"`
	// Mismatched counts the responses that belonged to another request.
	Mismatched int `json:"crossed_answers"`
	// MostRuns is the greatest number of runs of one try at one backend server.
	MostRuns int `json:"most_runs"`
	// FalseNotExecuted counts the tries that were refused with executed "no" although
	// they ran at a backend server.
	FalseNotExecuted int `json:"false_not_executed"`
	// WastedShare is the fraction of the backend servers' busy time that was spent on
	// tries without a good response.
	WastedShare float64 `json:"wasted_share"`
	// KeySeen is true if a backend server received a caller's key.
	KeySeen bool `json:"key_seen"`
	// Windows holds the goodput of each window of windowLength, for the plot.
	Windows []float64 `json:"windows"`
}

// NewReport computes the results that follow from the callers' outcomes.
func NewReport(s *Scenario, system string, seed uint64, outcomes []Outcome) *Report {
	r := &Report{Scenario: s.Name, System: system, Seed: seed}
	byPhase := make([][]Outcome, len(s.Phases))
	for _, o := range outcomes {
		byPhase[o.Phase] = append(byPhase[o.Phase], o)
		if o.Mismatched {
			r.Mismatched++
		}
	}
	for i, phase := range s.Phases {
		r.Phases = append(r.Phases, phaseReport(s, phase, byPhase[i]))
	}
	base := successRatio(byPhase[0])
	var begin time.Duration
	for i, phase := range s.Phases {
		r.Phases[i].RecoverySeconds = recoverySeconds(byPhase[i], begin, phase.Duration, base)
		r.Phases[i].Served = servedPerSecond(outcomes, begin, phase.Duration)
		begin += phase.Duration
	}
	r.addPeak(s)
	r.Windows = goodputWindows(outcomes, s.Total())
	return r
}

// AddBackendReports adds the results that follow from the backend servers' counters.
func (r *Report) AddBackendReports(d *Driver, outcomes []Outcome, servers []standin.BackendReport) {
	useful := make(map[string]bool, len(outcomes))
	for _, o := range outcomes {
		if o.Good {
			useful[d.Order(o.Number, o.Tries)] = true
		}
	}
	ran := make(map[string]bool)
	var busy, wasted int64
	for _, server := range servers {
		r.KeySeen = r.KeySeen || server.KeySeen
		for number, order := range server.Orders {
			ran[number] = true
			r.MostRuns = max(r.MostRuns, order.Runs)
			busy += order.BusyMicros
			if !useful[number] {
				wasted += order.BusyMicros
			}
		}
	}
	if busy > 0 {
		r.WastedShare = float64(wasted) / float64(busy)
	}
	for _, o := range outcomes {
		for _, try := range o.NotExecuted {
			if ran[d.Order(o.Number, try)] {
				r.FalseNotExecuted++
			}
		}
	}
}

func phaseReport(s *Scenario, phase Phase, outcomes []Outcome) PhaseReport {
	r := PhaseReport{Name: phase.Name, Seconds: phase.Duration.Seconds(), Requests: len(outcomes), Kinds: make(map[string]int)}
	latency := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	demand := make([]float64, len(s.Workspaces))
	good := make([]float64, len(s.Workspaces))
	for _, o := range outcomes {
		r.Kinds[outcomeName(o)]++
		if o.Good {
			r.Good++
			good[o.Workspace]++
			_ = latency.RecordValue(min(o.Latency, maxLatency).Microseconds())
		}
		r.Entitled += o.Entitled
		r.WronglyRefused += o.WronglyRefused
		if o.Entitled > 0 {
			demand[o.Workspace]++
		}
	}
	r.Goodput = float64(r.Good) / r.Seconds
	r.P50MS = float64(latency.ValueAtQuantile(50)) / 1000
	r.P99MS = float64(latency.ValueAtQuantile(99)) / 1000
	r.WorstShare, r.Worst = worstShare(s, demand, good)
	return r
}

// outcomeName returns "good", the kind of the refusal, "no-answer" without a response,
// or else the status.
func outcomeName(o Outcome) string {
	switch {
	case o.Good:
		return "good"
	case o.Kind != "":
		return string(o.Kind)
	case o.Status == 0:
		return "no-answer"
	default:
		return fmt.Sprintf("status-%d", o.Status)
	}
}

// worstShare returns the smallest ratio of a workspace's goodput to its max-min
// fair share of the total goodput, and the workspace's name. It returns 0 without
// any goodput.
func worstShare(s *Scenario, demand, good []float64) (float64, string) {
	var total float64
	for _, g := range good {
		total += g
	}
	if total == 0 {
		return 0, ""
	}
	fair := MaxMinFairShares(demand, total)
	worst, name := math.Inf(1), ""
	for i, w := range s.Workspaces {
		if fair[i] > 0 && good[i]/fair[i] < worst {
			worst, name = good[i]/fair[i], w.Name
		}
	}
	return worst, name
}

// MaxMinFairShares returns the max-min fair shares of a capacity for the given
// demands.
func MaxMinFairShares(demand []float64, capacity float64) []float64 {
	order := make([]int, len(demand))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool { return demand[order[a]] < demand[order[b]] })
	fair := make([]float64, len(demand))
	for position, i := range order {
		fair[i] = min(demand[i], capacity/float64(len(order)-position))
		capacity -= fair[i]
	}
	return fair
}

func successRatio(outcomes []Outcome) float64 {
	if len(outcomes) == 0 {
		return 0
	}
	good := 0
	for _, o := range outcomes {
		if o.Good {
			good++
		}
	}
	return float64(good) / float64(len(outcomes))
}

// recoverySeconds returns the time from the start of a phase to the first of
// steadyWindows successive windows whose success ratio is at least recoveredShare
// of base, or -1 without such windows.
func recoverySeconds(outcomes []Outcome, begin, length time.Duration, base float64) float64 {
	windows := make([][]Outcome, int(length/windowLength))
	for _, o := range outcomes {
		if i := int((o.At - begin) / windowLength); i < len(windows) {
			windows[i] = append(windows[i], o)
		}
	}
	steady := 0
	for i, window := range windows {
		if len(window) > 0 && successRatio(window) < recoveredShare*base {
			steady = 0
			continue
		}
		if steady++; steady == steadyWindows {
			return (time.Duration(i+1-steadyWindows) * windowLength).Seconds()
		}
	}
	return -1
}

// servedPerSecond returns the rate of good responses that arrived within a phase.
func servedPerSecond(outcomes []Outcome, begin, length time.Duration) float64 {
	count := 0
	for _, o := range outcomes {
		if at := o.At + o.Latency; o.Good && at >= begin && at < begin+length {
			count++
		}
	}
	return float64(count) / length.Seconds()
}

func goodputWindows(outcomes []Outcome, total time.Duration) []float64 {
	windows := make([]float64, int(total/windowLength)+1)
	for _, o := range outcomes {
		if o.Good {
			windows[int(o.At/windowLength)] += 1 / windowLength.Seconds()
		}
	}
	return windows
}

// WriteTable prints the report as text.
func (r *Report) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "scenario=%s system=%s seed=%d\n", r.Scenario, r.System, r.Seed)
	fmt.Fprintf(w, "%-18s %8s %8s %9s %8s %7s %8s %8s %7s %-10s %9s %8s\n",
		"phase", "requests", "good", "goodput/s", "served/s", "of peak", "p50 ms", "p99 ms", "worst", "workspace", "wrongly", "recovery")
	for _, p := range r.Phases {
		fmt.Fprintf(w, "%-18s %8d %8d %9.1f %8.1f %7s %8.1f %8.1f %7.3f %-10s %8.3f%% %8s\n", p.Name, p.Requests, p.Good,
			p.Goodput, p.Served, formatShare(p.ShareOfPeak, r.Peak), p.P50MS, p.P99MS, p.WorstShare, p.Worst,
			percent(p.WronglyRefused, p.Entitled), formatRecovery(p))
	}
	for _, p := range r.Phases {
		fmt.Fprintf(w, "outcomes %s:%s\n", p.Name, formatKinds(p.Kinds))
	}
	fmt.Fprintf(w, "wasted server time %.2f%%, crossed answers %d, most runs of one request at one server %d, false not-executed %d, key seen %t\n",
		100*r.WastedShare, r.Mismatched, r.MostRuns, r.FalseNotExecuted, r.KeySeen)
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func formatKinds(kinds map[string]int) string {
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	sort.Strings(names)
	var text strings.Builder
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%d", name, kinds[name])
	}
	return text.String()
}
