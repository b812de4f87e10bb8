// Package check finds errors in a configuration of a shared platform before it is
// published, and compares it with another version. It is made for edits by hand and by
// scripts, of thousands of routes and workspaces: each check takes time proportional to the
// number of entries. It is pure, and knows neither the names of the platform's fields nor
// the document: a finding has a Place, which the adapter translates into a path. Details
// and remedies contain no text of a key.
package check

import (
	"fmt"
	"slices"
	"strings"

	"tarragonshore.example/tarragonshore/internal/version/catalog"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Configuration is a decoded version with what catalog.Content does not keep.
type Configuration struct {
	catalog.Content
	// NumberInvalid is set if the version is missing or not a number; Version is then 0.
	NumberInvalid bool
	// Kinds holds the kind of each route, in the order of Routes.
	Kinds []string
	// KnownKinds holds the kinds of routes that the platform defines.
	KnownKinds []string
	// ColdLimits holds the WarmUp of each service, also without a rate, in the order of
	// Services.
	ColdLimits []catalog.WarmUp
}

// Table is a part of a configuration.
type Table string

// Tables of a configuration.
const (
	TableVersion    Table = "version"
	TableRoutes     Table = "route"
	TableServices   Table = "service"
	TableWorkspaces Table = "workspace"
	TableLimits     Table = "limits"
)

// Field is a field of an entry.
type Field string

// Fields of the entries.
const (
	FieldName          Field = "name"
	FieldHost          Field = "host"
	FieldPathPrefix    Field = "path prefix"
	FieldKind          Field = "kind"
	FieldShares        Field = "traffic split"
	FieldService       Field = "service"
	FieldWeight        Field = "weight"
	FieldImportance    Field = "importance"
	FieldTimeout       Field = "timeout"
	FieldLatency       Field = "latency objective"
	FieldAttempts      Field = "attempts"
	FieldOpen          Field = "open"
	FieldHealthPath    Field = "health path"
	FieldWarmUp        Field = "warm-up time"
	FieldWarmUpRate    Field = "warm-up rate"
	FieldKeys          Field = "keys"
	FieldRate          Field = "rate"
	FieldBurst         Field = "burst"
	FieldHeaderBytes   Field = "header bytes"
	FieldBodyBytes     Field = "body bytes"
	FieldHeaderTimeout Field = "header timeout"
	FieldIdleTimeout   Field = "idle timeout"
)

// NoItem is the Item of a Place that is not in a list.
const NoItem = -1

// Place is where a finding is.
type Place struct {
	Table Table
	Index int // of the entry in its table
	Field Field
	// Item is the index of a share or key in the list of the field, or NoItem.
	Item int
	// Part is the field of the share at Item; empty for keys.
	Part Field
}

// Class groups findings by their effect.
type Class string

// Classes of findings.
const (
	// ClassError is an entry or a version that daemons reject or cannot use as intended.
	ClassError Class = "error"
	// ClassNeverMatches is a route that gets no request, or not those of whole path
	// segments under its prefix.
	ClassNeverMatches Class = "never-matches"
	// ClassContradiction is a limit that another one makes useless.
	ClassContradiction Class = "contradiction"
)

// Finding is a fault of a configuration.
type Finding struct {
	Place Place `json:"-"`
	// Path is the place in the document. The adapter sets it.
	Path   string `json:"path"`
	Class  Class  `json:"class"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
}

// Report is the result of a check.
type Report struct {
	// Version is the hexadecimal number of the checked version, empty if it is not readable.
	Version     string       `json:"version"`
	Findings    []Finding    `json:"findings"`
	Differences []Difference `json:"differences"`
}

// Check returns the findings in c, in the order of its tables.
func Check(c *Configuration) []Finding {
	f := &finder{}
	switch {
	case c.NumberInvalid:
		f.add(version, ClassError, "the version is missing or not a hexadecimal number", "write the version as a string of hexadecimal digits")
	case c.Version == 0:
		f.add(version, ClassError, "the version is 0, which stands for no version", "use a version from 1")
	}
	f.checkRoutes(c)
	f.checkServices(c)
	f.checkWorkspaces(c)
	if c.Limits.BodyBytes > tables.MaxBodyBytes {
		f.add(Place{Table: TableLimits, Field: FieldBodyBytes, Item: NoItem}, ClassContradiction,
			fmt.Sprintf("the limit of %d bytes is above the largest body that a daemon accepts", c.Limits.BodyBytes),
			fmt.Sprintf("set at most %d", tables.MaxBodyBytes))
	}
	return f.findings
}

var version = Place{Table: TableVersion, Item: NoItem}

// finder collects findings.
type finder struct{ findings []Finding }

func (f *finder) add(place Place, class Class, detail, remedy string) {
	f.findings = append(f.findings, Finding{Place: place, Class: class, Detail: detail, Remedy: remedy})
}

// entry adds findings about one entry.
type entry struct {
	f     *finder
	table Table
	index int
	label string // of the entry, for details
}

func (e entry) add(field Field, class Class, detail, remedy string) {
	e.f.add(Place{Table: e.table, Index: e.index, Field: field, Item: NoItem}, class, e.label+" "+detail, remedy)
}

func (e entry) addItem(field Field, item int, part Field, class Class, detail, remedy string) {
	e.f.add(Place{Table: e.table, Index: e.index, Field: field, Item: item, Part: part}, class, e.label+" "+detail, remedy)
}

// name checks the name of an entry. indexes holds the entries by name so far.
func (e entry) name(name string, indexes map[string]int) {
	if name == "" {
		e.add(FieldName, ClassError, "has no name", "give it a name")
		return
	}
	if _, ok := indexes[name]; ok {
		e.add(FieldName, ClassError, "has a name that occurs before", "rename or remove one of the two")
		return
	}
	indexes[name] = e.index
}

// notNegative checks that a limit is not below 0.
func (e entry) notNegative(field Field, negative bool) {
	if negative {
		e.add(field, ClassError, fmt.Sprintf("has a negative %s", field), "use 0 or more")
	}
}

func (f *finder) checkRoutes(c *Configuration) {
	names := make(map[string]int)
	matches := make(map[[2]string]string)
	services := make(map[string]bool, len(c.Services))
	for _, name := range c.Services {
		services[name] = true
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		e := entry{f, TableRoutes, i, fmt.Sprintf("route %q", r.Name)}
		e.name(r.Name, names)
		if r.Host == "" {
			e.add(FieldHost, ClassError, "has no host", "name the host of its requests")
		}
		switch {
		case r.PathPrefix == "":
			e.add(FieldPathPrefix, ClassError, "has no path prefix", "give it one that begins and ends with a slash")
		case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
			e.add(FieldPathPrefix, ClassNeverMatches, fmt.Sprintf("has the path prefix %q, which does not begin and end with a slash", r.PathPrefix),
				"begin and end it with a slash")
		case r.Host != "":
			match := [2]string{strings.ToLower(r.Host), r.PathPrefix}
			if first, ok := matches[match]; ok {
				e.add(FieldPathPrefix, ClassNeverMatches, fmt.Sprintf("has the host and path prefix of route %q, which gets its requests", first),
					"change host or path prefix, or remove one of the two routes")
			} else {
				matches[match] = r.Name
			}
		}
		if kind := c.Kinds[i]; !slices.Contains(c.KnownKinds, kind) {
			e.add(FieldKind, ClassError, fmt.Sprintf("has the unknown kind %q", kind), "use one of "+strings.Join(c.KnownKinds, ", "))
		}
		e.checkShares(r.Shares, services)
		if r.MaxAttempts < 1 {
			e.add(FieldAttempts, ClassError, fmt.Sprintf("has %d attempts, which daemons treat as 1", r.MaxAttempts), "use 1 or more")
		}
		e.notNegative(FieldTimeout, r.Timeout < 0)
		e.notNegative(FieldLatency, r.LatencyTarget < 0)
		if r.Timeout > 0 && r.LatencyTarget > r.Timeout {
			e.add(FieldLatency, ClassContradiction, fmt.Sprintf("has a latency objective of %s above its timeout of %s", r.LatencyTarget, r.Timeout),
				"lower the objective or raise the timeout")
		}
	}
}

// checkShares checks the services of a route.
func (e entry) checkShares(shares []catalog.Share, services map[string]bool) {
	if len(shares) == 0 {
		e.add(FieldShares, ClassError, "has no service", "name a service or a traffic split")
		return
	}
	total, negative := 0, false
	for i, s := range shares {
		switch {
		case s.Service == "":
			e.addItem(FieldShares, i, FieldService, ClassError, "has a share without a service", "name its service, or remove the share")
		case !services[s.Service]:
			e.addItem(FieldShares, i, FieldService, ClassError, fmt.Sprintf("has the service %q, which is not listed", s.Service), "list the service, or correct its name")
		}
		if s.Weight < 0 {
			e.addItem(FieldShares, i, FieldWeight, ClassError, "has a negative weight", "use 0 or more")
			negative = true
		}
		total += s.Weight
	}
	if total == 0 && !negative {
		e.add(FieldShares, ClassContradiction, "has weights that add up to 0", "give at least one service a weight above 0")
	}
}

func (f *finder) checkServices(c *Configuration) {
	names := make(map[string]int)
	for i, name := range c.Services {
		e := entry{f, TableServices, i, fmt.Sprintf("service %q", name)}
		e.name(name, names)
		limit := c.ColdLimits[i]
		e.notNegative(FieldWarmUp, limit.Time < 0)
		e.notNegative(FieldWarmUpRate, limit.Rate < 0)
		if limit.Rate > 0 && limit.Time == 0 {
			e.add(FieldWarmUpRate, ClassContradiction, "has a warm-up rate without a warm-up time", "set the warm-up time, or remove the rate")
		}
		if limit.Rate > 0 && !strings.HasPrefix(limit.HealthPath, "/") {
			e.add(FieldHealthPath, ClassContradiction, "has a warm-up rate without a health path that begins with a slash",
				"set the health path, on which a server tells how long it stays cold, or remove the rate")
		}
	}
}

func (f *finder) checkWorkspaces(c *Configuration) {
	names := make(map[string]int)
	holders := make(map[string]int) // first workspace by key
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		e := entry{f, TableWorkspaces, i, fmt.Sprintf("workspace %q", w.Name)}
		e.name(w.Name, names)
		for k, key := range w.Keys {
			if key == "" {
				e.addItem(FieldKeys, k, "", ClassError, "has an empty key", "remove it")
				continue
			}
			if holder, ok := holders[key]; ok && holder != i {
				e.addItem(FieldKeys, k, "", ClassError, fmt.Sprintf("has a key that workspace %q has too", c.Workspaces[holder].Name), "remove the key from one of the two")
			} else {
				holders[key] = i
			}
		}
		if w.Rate > 0 && w.Burst < 1 {
			e.add(FieldBurst, ClassContradiction, fmt.Sprintf("has a burst of %g, less than one request, and a rate of %g", w.Burst, w.Rate), "set a burst of 1 or more")
		}
		if w.Rate < 0 && len(w.Keys) > 0 {
			e.add(FieldRate, ClassContradiction, fmt.Sprintf("has keys and a negative rate of %g, which daemons treat as unlimited", w.Rate), "set the rate, 0 for an unlimited one, or remove its keys")
		}
	}
}
