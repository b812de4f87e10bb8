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

// Constants of the measures.
const (
	// windowLength is the resolution of goodput over time and of recovery.
	windowLength = 200 * time.Millisecond
	// recoveredShare of the earlier success ratio counts as recovered.
	recoveredShare = 0.95
	// steadyWindows must all be recovered before the system counts as recovered.
	steadyWindows = 5
	// maxLatency bounds the latency histogram.
	maxLatency = time.Minute
)

// PhaseReport holds the measures of one phase, by intended send time.
type PhaseReport struct {
	Name     string  `json:"name"`
	Seconds  float64 `json:"seconds"`
	Requests int     `json:"requests"`
	Good     int     `json:"good"`
	// Goodput is good requests per second.
	Goodput float64 `json:"goodput"`
	P50MS   float64 `json:"p50_ms"` // of good requests
	P99MS   float64 `json:"p99_ms"`
	// WorstShare is the least goodput of a workspace over its max-min fair
	// share of the phase's goodput, and Worst the workspace's name.
	WorstShare float64 `json:"worst_share"`
	Worst      string  `json:"worst"`
	// Entitled counts tries inside their workspace's rate, and WronglyRefused
	// those of them that were refused for rate.
	Entitled       int `json:"entitled"`
	WronglyRefused int `json:"wrongly_refused"`
	// RecoverySeconds is the time from the begin of the phase until the
	// success ratio is back to 95% of that of the first phase; -1 if never.
	RecoverySeconds float64 `json:"recovery_s"`
	// Served is good answers per second by the time of the answer. Unlike Goodput
	// it cannot exceed what the servers bear by answers given after the phase.
	Served float64 `json:"served"`
	// ShareOfPeak is Served over the system's own peak; 0 without a peak.
	ShareOfPeak float64        `json:"share_of_peak"`
	Kinds       map[string]int `json:"kinds"`
}

// Report holds the measures of a run.
type Report struct {
	Scenario string        `json:"scenario"`
	System   string        `json:"system"`
	Seed     uint64        `json:"seed"`
	Phases   []PhaseReport `json:"phases"`
	// Peak is the greatest Served of the phases that search for it; 0 without such phases.
	Peak    float64 `json:"peak"`
	Crossed int     `json:"crossed_answers"`
	// MostRuns is the greatest number of runs of one request at one backend server.
	MostRuns int `json:"most_runs"`
	// FalseNotExecuted counts tries refused with executed "no" that ran at any backend server.
	FalseNotExecuted int `json:"false_not_executed"`
	// WastedShare is the part of the backend servers' time that went to requests
	// which were not good in the end.
	WastedShare float64 `json:"wasted_share"`
	KeySeen     bool    `json:"key_seen"`
	// Windows is the goodput per window, for the plot.
	Windows []float64 `json:"windows"`
}

// NewReport computes the measures of the callers' side.
func NewReport(s *Scenario, system string, seed uint64, outcomes []Outcome) *Report {
	r := &Report{Scenario: s.Name, System: system, Seed: seed}
	byPhase := make([][]Outcome, len(s.Phases))
	for _, o := range outcomes {
		byPhase[o.Phase] = append(byPhase[o.Phase], o)
		if o.Crossed {
			r.Crossed++
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

// AddServers adds the measures of the backend servers' side.
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

// worstShare compares each workspace's goodput with its max-min fair share of
// the whole goodput. It is 0 if there is no goodput to share.
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

// MaxMin returns the max-min fair division of a capacity among demands.
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

// recovery returns the seconds until steadyWindows successive windows of a
// phase reach the recovered share of the base ratio, or -1.
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

// served returns the good answers per second that callers got within a phase.
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

// WriteTable prints the report for people.
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
		100*r.WastedShare, r.Crossed, r.MostRuns, r.FalseNotExecuted, r.KeySeen)
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
