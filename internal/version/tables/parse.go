package tables

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"tarragonshore.example/tarragonshore/internal/version/strictini"
)

// MaxInputBytes is the maximum size of the INI text of one table.
const MaxInputBytes = 4 << 20

// Defaults of optional settings.
const (
	DefaultImportance     Importance = 3 // the default urgency of RFC 9218
	DefaultTimeout                   = 10 * time.Second
	DefaultAttemptCredits            = 2
	DefaultMaxBodyBytes              = 1 << 20
	DefaultWarmUp                    = 10 * time.Second
	DefaultRetryRatio                = 0.1
)

// sectionKeys lists the known settings of each kind of section.
var sectionKeys = map[RowKind][]string{
	KindRoute:     {"path", "methods", "pool", "idempotent", "importance", "timeout", "credits", "open", "workspaces", "max_body"},
	KindKey:       {"workspace"},
	KindPool:      {"warm_up", "retry_ratio"},
	KindWorkspace: {"rate", "burst"},
	KindServer:    {"drain"},
}

// Parse parses and checks both tables in INI form. The error is of type Errors and
// holds all errors found.
func Parse(routes, pools []byte) (*Tables, error) {
	p := parser{invalidRows: map[RowRef]bool{}}
	p.table(TableRoutes, routes)
	p.table(TablePools, pools)
	return build(p.rows, p.errs, &p)
}

// parser collects the rows of both tables and the errors found in their text.
type parser struct {
	rows rows
	errs Errors
	// invalidRows holds the rows with a parse error. They are not checked further,
	// but references to them are valid.
	invalidRows map[RowRef]bool
	// unparsed holds the tables whose text has a syntax error, so that references
	// to their rows cannot be checked.
	unparsed map[Table]bool
}

func (p *parser) addSyntaxError(table Table, value, remedy string) {
	p.errs = append(p.errs, &Error{Reason: ReasonSyntax, Table: table, Value: value, Remedy: remedy})
	if p.unparsed == nil {
		p.unparsed = map[Table]bool{}
	}
	p.unparsed[table] = true
}

func (p *parser) table(table Table, text []byte) {
	if len(text) > MaxInputBytes {
		p.addSyntaxError(table, strconv.Itoa(len(text))+" bytes", "keep the text under "+strconv.Itoa(MaxInputBytes)+" bytes")
		return
	}
	sections, err := strictini.Load(text)
	if err != nil {
		p.addSyntaxError(table, err.Error(), "correct the INI syntax: '[section name]', then lines 'key = value'")
		return
	}
	seen := map[RowRef]bool{}
	for _, section := range sections {
		p.section(table, section, seen)
	}
}

func (p *parser) section(table Table, section *ini.Section, seen map[RowRef]bool) {
	words := strings.Fields(section.Name())
	if len(words) != 2 || sectionKeys[RowKind(words[0])] == nil || RowKind(words[0]).Table() != table {
		shown := section.Name()
		if len(words) > 0 && words[0] == string(KindKey) {
			shown = redactKeySection(shown)
		}
		p.errs = append(p.errs, &Error{Reason: ReasonUnknownSection, Table: table, Section: shown, Remedy: unknownSectionRemedy(table)})
		return
	}
	ref := RowRef{RowKind(words[0]), words[1]}
	r := sectionReader{ref: ref, errs: &p.errs, values: map[string]string{}}
	if ref.Kind == KindKey {
		digest, ok := ParseKeyDigest(ref.Name)
		if !ok {
			r.ref.Name = strings.TrimPrefix(redactKeySection(section.Name()), "key ")
			r.addError(ReasonBadName, "", "", "use the SHA-256 of the key as 64 hexadecimal digits")
		}
		ref.Name = digest.String()
	}
	if seen[ref] {
		r.addError(ReasonDuplicateSection, "", "", "keep one of the sections")
		return
	}
	seen[ref] = true
	for _, key := range section.Keys() {
		if !slices.Contains(sectionKeys[ref.Kind], key.Name()) {
			r.addError(ReasonUnknownKey, key.Name(), key.Value(), "use one of: "+strings.Join(sectionKeys[ref.Kind], ", "))
			continue
		}
		if values := key.ValueWithShadows(); len(values) > 1 {
			r.addError(ReasonDuplicateKey, key.Name(), strings.Join(values, " | "), "keep one of the lines")
		}
		r.values[key.Name()] = key.Value()
	}
	p.rows.add(&r)
	if r.failed {
		p.invalidRows[ref] = true
	}
}

// redactKeySection returns the section name of a key with the second part replaced
// by its length, for messages: it may be a key pasted in place of its digest.
func redactKeySection(section string) string {
	rest := strings.TrimSpace(strings.TrimPrefix(strings.TrimSpace(section), string(KindKey)))
	return string(KindKey) + " (" + strconv.Itoa(len(rest)) + " characters)"
}

// unknownSectionRemedy returns the remedy for a section that the table cannot have.
func unknownSectionRemedy(table Table) string {
	if table == TableRoutes {
		return "use [route NAME] or [key SHA256HEX]"
	}
	return "use [pool NAME], [workspace NAME] or [server NAME]"
}

// add appends the row that the section describes.
func (rs *rows) add(r *sectionReader) {
	name := r.ref.Name
	switch r.ref.Kind {
	case KindRoute:
		rs.routes = append(rs.routes, Route{
			Name:           name,
			PathPrefix:     r.required("path"),
			Methods:        r.list("methods"),
			Pool:           r.required("pool"),
			Idempotent:     r.boolean("idempotent"),
			Importance:     Importance(r.integer("importance", int64(DefaultImportance), 0, int64(LeastImportance))),
			Timeout:        r.duration("timeout", DefaultTimeout),
			AttemptCredits: int(r.integer("credits", DefaultAttemptCredits, 0, MaxAttemptCredits)),
			Open:           r.boolean("open"),
			Workspaces:     r.list("workspaces"),
			MaxBodyBytes:   r.bytes("max_body", DefaultMaxBodyBytes),
		})
	case KindKey:
		digest, _ := ParseKeyDigest(name)
		rs.keys = append(rs.keys, Key{Digest: digest, Workspace: r.required("workspace")})
	case KindPool:
		rs.pools = append(rs.pools, Pool{
			Name:       name,
			WarmUp:     r.duration("warm_up", DefaultWarmUp),
			RetryRatio: r.float("retry_ratio", DefaultRetryRatio),
		})
	case KindWorkspace:
		rs.workspaces = append(rs.workspaces, Workspace{
			Name:  name,
			Rate:  r.requiredFloat("rate"),
			Burst: int(r.requiredInteger("burst", 1, MaxBurst)),
		})
	case KindServer:
		rs.servers = append(rs.servers, Server{Name: name, Drain: r.boolean("drain")})
	}
}

// sectionReader converts the settings of one section and collects its errors.
type sectionReader struct {
	ref    RowRef
	errs   *Errors
	values map[string]string
	failed bool
}

func (r *sectionReader) addError(reason Reason, key, value, remedy string) {
	r.failed = true
	r.errs.add(reason, r.ref, key, value, remedy)
}

func (r *sectionReader) required(key string) string {
	value, ok := r.values[key]
	if !ok {
		r.addError(ReasonMissingKey, key, "", "add the line '"+key+" = ...'")
	}
	return value
}

func (r *sectionReader) list(key string) []string {
	value, ok := r.values[key]
	if !ok || value == "" {
		return nil
	}
	items := strings.Split(value, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
	}
	return items
}

func (r *sectionReader) boolean(key string) bool {
	switch value, ok := r.values[key]; {
	case !ok || value == "false":
		return false
	case value != "true":
		r.addError(ReasonBadValue, key, value, "use true or false")
		return false
	}
	return true
}

func (r *sectionReader) integer(key string, def, low, high int64) int64 {
	value, ok := r.values[key]
	if !ok {
		return def
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < low || n > high {
		r.addError(ReasonBadValue, key, value, wholeNumberRemedy(low, high))
		return def
	}
	return n
}

func (r *sectionReader) requiredInteger(key string, low, high int64) int64 {
	r.required(key)
	return r.integer(key, low, low, high)
}

func (r *sectionReader) float(key string, def float64) float64 {
	value, ok := r.values[key]
	if !ok {
		return def
	}
	f, err := strconv.ParseFloat(value, 64)
	if err != nil {
		r.addError(ReasonBadValue, key, value, "use a decimal number")
		return def
	}
	return f
}

func (r *sectionReader) requiredFloat(key string) float64 {
	r.required(key)
	return r.float(key, 1)
}

func (r *sectionReader) duration(key string, def time.Duration) time.Duration {
	value, ok := r.values[key]
	if !ok {
		return def
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		r.addError(ReasonBadValue, key, value, "use a number with a unit, such as 500ms or 10s")
		return def
	}
	return d
}

// bytes reads a size: a whole number of bytes, KiB or MiB.
func (r *sectionReader) bytes(key string, def int64) int64 {
	value, ok := r.values[key]
	if !ok {
		return def
	}
	factor := int64(1)
	number := value
	for suffix, f := range map[string]int64{"KiB": 1 << 10, "MiB": 1 << 20} {
		if rest, found := strings.CutSuffix(value, suffix); found {
			number, factor = strings.TrimSpace(rest), f
		}
	}
	n, err := strconv.ParseInt(number, 10, 64)
	if err != nil || n < 0 || n > MaxBodyBytes/factor {
		r.addError(ReasonBadValue, key, value, "use bytes or a number with KiB or MiB, at most "+strconv.Itoa(MaxBodyBytes)+" bytes")
		return def
	}
	return n * factor
}
