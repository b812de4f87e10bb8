// Package load drives seeded open-loop load against running daemons and reports
// goodput, latency, fairness and wrongful refusals. Arrivals do not wait for
// responses, and latency counts from the scheduled send time. A slow system thus
// cannot hide its latency by slowing the callers down (coordinated omission).
package load

import (
	"errors"
	"fmt"
	"os"
	"sort"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Scenario describes the callers, services and faults of a run.
type Scenario struct {
	Name string
	// Rate is the mean number of requests per second in a phase of demand 1.
	Rate float64
	// Deadline is the time after the scheduled send time within which a response
	// must arrive to count as good.
	Deadline time.Duration
	// TryTimeout is the time after which a caller gives up one try and may send
	// the next one; 0 means at the deadline.
	TryTimeout time.Duration
	// CallerDelay is the one-way latency between a caller and a daemon.
	CallerDelay time.Duration
	// ZoneDelay is the one-way latency between availability zones.
	ZoneDelay time.Duration
	// ConnectDelay is the latency of opening a connection.
	ConnectDelay time.Duration
	// RequestLine is the method and path of the callers' requests, "METHOD PATH".
	RequestLine string
	Zones       int
	Services    []ServiceSpec
	Workspaces  []WorkspaceSpec
	Phases      []Phase
}

// ServiceSpec is a section "[service NAME]".
type ServiceSpec struct {
	Name          string
	Upstreams     int
	Slots         []int
	ServiceTimeMS float64
	Calls         []string
	// IgnoreCancel makes the backend servers finish requests that were cancelled or
	// whose deadline has passed.
	IgnoreCancel bool
}

// WorkspaceSpec is a section "[workspace NAME]".
type WorkspaceSpec struct {
	Name string
	// Weight is the workspace's weight in the demand. Weights need not sum to 1.
	Weight float64
	// Rate and Burst are the workspace's limits in the pools table.
	Rate  float64
	Burst int
}

// Phase is a section "[phase NAME]": a period with its own demand and faults.
type Phase struct {
	Name     string
	Duration time.Duration
	// Demand multiplies Scenario.Rate.
	Demand float64
	// Retries is the number of times that a caller retries a failed request, without
	// a back-off.
	Retries int
	// SlowPool and SlowFactor slow the backend servers of one service.
	SlowPool   string
	SlowFactor float64
	// HotWorkspace sends HotFactor times its usual rate.
	HotWorkspace string
	HotFactor    float64
	// Outage makes the platform refuse all requests.
	Outage bool
	// Peak marks a phase that Report.Peak takes into account.
	Peak bool
}

// ScenarioError is an error in a scenario file, with its place and the remedy.
type ScenarioError struct {
	File, Section, Key, Remedy string
}

// Error implements error.
func (e *ScenarioError) Error() string {
	return fmt.Sprintf("%s: section [%s], key %q: %s", e.File, e.Section, e.Key, e.Remedy)
}

// LoadScenario reads a scenario file.
func LoadScenario(path string) (*Scenario, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	file, err := ini.Load(content)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	r := &scenarioReader{path: path}
	s := &Scenario{}
	for _, section := range file.Sections() {
		kind, name, _ := strings.Cut(section.Name(), " ")
		switch kind {
		case ini.DefaultSection:
		case "scenario":
			r.scenario(section, s)
		case "service":
			s.Services = append(s.Services, r.service(section, name))
		case "workspace":
			s.Workspaces = append(s.Workspaces, r.workspace(section, name))
		case "phase":
			s.Phases = append(s.Phases, r.phase(section, name))
		default:
			r.addError(section.Name(), "", "use scenario, service, workspace or phase")
		}
	}
	if len(s.Services) == 0 || len(s.Workspaces) == 0 || len(s.Phases) == 0 {
		r.addError("scenario", "", "add at least one service, workspace and phase")
	}
	return s, errors.Join(r.errs...)
}

// Total returns the total duration of the phases.
func (s *Scenario) Total() time.Duration {
	var total time.Duration
	for _, phase := range s.Phases {
		total += phase.Duration
	}
	return total
}

// scenarioReader parses the sections of a scenario file and collects all errors.
type scenarioReader struct {
	path string
	errs []error
}

func (r *scenarioReader) addError(section, key, remedy string) {
	r.errs = append(r.errs, &ScenarioError{File: r.path, Section: section, Key: key, Remedy: remedy})
}

// checkKeys adds an error for each unknown key of a section. known must be sorted.
func (r *scenarioReader) checkKeys(section *ini.Section, known ...string) {
	for _, key := range section.KeyStrings() {
		if i := sort.SearchStrings(known, key); i == len(known) || known[i] != key {
			r.addError(section.Name(), key, "unknown key; use one of "+strings.Join(known, ", "))
		}
	}
}

func (r *scenarioReader) float(section *ini.Section, key string, fallback float64) float64 {
	if !section.HasKey(key) {
		return fallback
	}
	value, err := section.Key(key).Float64()
	if err != nil || value < 0 {
		r.addError(section.Name(), key, "write a number of at least 0")
	}
	return value
}

func (r *scenarioReader) duration(section *ini.Section, key string) time.Duration {
	value, err := section.Key(key).Duration()
	if err != nil || value < 0 {
		r.addError(section.Name(), key, "write a duration such as 250ms")
	}
	return value
}

// optionalDuration is duration, but returns 0 if the key is missing.
func (r *scenarioReader) optionalDuration(section *ini.Section, key string) time.Duration {
	if !section.HasKey(key) {
		return 0
	}
	return r.duration(section, key)
}

func (r *scenarioReader) scenario(section *ini.Section, s *Scenario) {
	r.checkKeys(section, "caller_delay", "connect_delay", "deadline", "name", "rate", "target", "try_timeout", "zone_delay", "zones")
	s.Name = section.Key("name").String()
	s.Rate = r.float(section, "rate", 0)
	s.Deadline = r.duration(section, "deadline")
	s.CallerDelay = r.duration(section, "caller_delay")
	s.TryTimeout = r.optionalDuration(section, "try_timeout")
	s.ZoneDelay = r.optionalDuration(section, "zone_delay")
	s.ConnectDelay = r.optionalDuration(section, "connect_delay")
	s.RequestLine = section.Key("target").String()
	s.Zones = int(r.float(section, "zones", 1))
	if !strings.Contains(s.RequestLine, " /") {
		r.addError(section.Name(), "target", "write METHOD PATH, e.g. GET /stock/1")
	}
	if s.Rate <= 0 || s.Zones < 1 {
		r.addError(section.Name(), "rate", "set rate above 0 and zones to at least 1")
	}
}

func (r *scenarioReader) service(section *ini.Section, name string) ServiceSpec {
	r.checkKeys(section, "calls", "ignore_cancel", "service_ms", "slots", "upstreams")
	spec := ServiceSpec{
		Name:          name,
		Upstreams:     int(r.float(section, "upstreams", 1)),
		Slots:         section.Key("slots").Ints(","),
		ServiceTimeMS: r.float(section, "service_ms", 1),

		IgnoreCancel: section.Key("ignore_cancel").MustBool(false),
	}
	if calls := section.Key("calls").String(); calls != "" {
		for _, call := range strings.Split(calls, ",") {
			spec.Calls = append(spec.Calls, strings.TrimSpace(call))
		}
	}
	if len(spec.Slots) == 0 || spec.Upstreams < 1 {
		r.addError(section.Name(), "slots", "list at least one number of slots and one upstream")
	}
	return spec
}

func (r *scenarioReader) workspace(section *ini.Section, name string) WorkspaceSpec {
	r.checkKeys(section, "burst", "rate", "share")
	return WorkspaceSpec{
		Name:   name,
		Weight: r.float(section, "share", 1),
		Rate:   r.float(section, "rate", 0),
		Burst:  int(r.float(section, "burst", 1)),
	}
}

func (r *scenarioReader) phase(section *ini.Section, name string) Phase {
	r.checkKeys(section, "demand", "duration", "hot_factor", "hot_workspace", "outage", "peak", "retries", "slow_factor", "slow_pool")
	return Phase{
		Name:         name,
		Duration:     r.duration(section, "duration"),
		Demand:       r.float(section, "demand", 1),
		Retries:      int(r.float(section, "retries", 0)),
		SlowPool:     section.Key("slow_pool").String(),
		SlowFactor:   r.float(section, "slow_factor", 1),
		HotWorkspace: section.Key("hot_workspace").String(),
		HotFactor:    r.float(section, "hot_factor", 1),
		Outage:       section.Key("outage").MustBool(false),
		Peak:         section.Key("peak").MustBool(false),
	}
}
