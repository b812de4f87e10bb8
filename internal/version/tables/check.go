package tables

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Bounds of the tables.
const (
	MaxNameBytes      = 64
	MaxRows           = 10_000
	MaxPathBytes      = 256
	MaxMethods        = 16 // also the longest method name in bytes
	MaxAttemptCredits = 10 // extra attempts
	MaxTimeout        = 10 * time.Minute
	MaxWarmUp         = 10 * time.Minute
	MaxRate           = 1e9           // requests per second
	MaxBurst          = 1_000_000_000 // requests
	// MaxBodyBytes leaves 1 MiB of a frame between daemons for the rest of the
	// request.
	MaxBodyBytes = 7 << 20
	// MaxCanonicalBytes bounds both tables together in canonical form, so that a
	// snapshot fits in one record of the log (platform.MaxRecordBytes) with 64 KiB to
	// spare.
	MaxCanonicalBytes = 960 << 10
)

// reservedPrefix is the path prefix of the daemon's own endpoints on the caller port.
const reservedPrefix = "/.well-known/tarragonshore"

// rows holds the rows of both tables. Once built, the lists are sorted by name, and
// the keys by digest.
type rows struct {
	routes     []Route
	keys       []Key
	pools      []Pool
	workspaces []Workspace
	servers    []Server
}

func (r *rows) count() int {
	return len(r.routes) + len(r.keys) + len(r.pools) + len(r.workspaces) + len(r.servers)
}

// build sorts, checks and indexes the rows. Errors found earlier are returned with
// the new ones; p is nil unless the rows come from a parser.
func build(r rows, errs Errors, p *parser) (*Tables, error) {
	for i := range r.routes {
		r.routes[i] = r.routes[i].clone()
	}
	return rebuild(checker{rows: &r, changed: allKinds, errs: errs, parser: p}, &Tables{})
}

// rebuild sorts, checks and indexes the rows of c. They differ from those of base
// only in the changed kinds; the lists of the other kinds are shared with base.
func rebuild(c checker, base *Tables) (*Tables, error) {
	c.rows.sort(c.changed)
	c.check()
	if len(c.errs) > 0 {
		return nil, c.errs
	}
	return buildIndex(*c.rows, base, c.changed)
}

// sort sorts the lists of the changed kinds.
func (r *rows) sort(changed kindSet) {
	if changed[KindRoute] {
		slices.SortStableFunc(r.routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	}
	if changed[KindKey] {
		slices.SortStableFunc(r.keys, func(a, b Key) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	}
	if changed[KindPool] {
		slices.SortStableFunc(r.pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	}
	if changed[KindWorkspace] {
		slices.SortStableFunc(r.workspaces, func(a, b Workspace) int { return cmp.Compare(a.Name, b.Name) })
	}
	if changed[KindServer] {
		slices.SortStableFunc(r.servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// checker checks the rows of both tables and collects their errors.
type checker struct {
	rows *rows
	// changed holds the kinds with changed rows. Only rows of these kinds, and of
	// kinds that refer to them, have to be checked again.
	changed kindSet
	errs    Errors
	parser  *parser
}

// hasParseError reports whether the parser found an error in the row, which is then
// not checked further.
func (c *checker) hasParseError(ref RowRef) bool { return c.parser != nil && c.parser.invalidRows[ref] }

// parsed reports whether references to rows of the table can be checked, which they
// cannot if its text has a syntax error.
func (c *checker) parsed(table Table) bool { return c.parser == nil || !c.parser.unparsed[table] }

func (c *checker) check() {
	if n := c.rows.count(); n > MaxRows {
		c.errs = append(c.errs, &Error{Reason: ReasonTooLarge, Table: TableRoutes, Value: strconv.Itoa(n) + " rows",
			Remedy: fmt.Sprintf("keep both tables together at %d rows or fewer", MaxRows)})
		return
	}
	pools, workspaces := map[string]bool{}, map[string]bool{}
	for i := range c.rows.pools {
		pools[c.rows.pools[i].Name] = true
	}
	for i := range c.rows.workspaces {
		workspaces[c.rows.workspaces[i].Name] = true
	}
	if c.changed[KindRoute] || c.changed[KindPool] || c.changed[KindWorkspace] {
		for i := range c.rows.routes {
			c.route(&c.rows.routes[i], pools, workspaces)
		}
		c.ambiguousRoutes()
	}
	if c.changed[KindKey] || c.changed[KindWorkspace] {
		for i := range c.rows.keys {
			c.key(&c.rows.keys[i], workspaces)
		}
	}
	if c.changed[KindPool] {
		for i := range c.rows.pools {
			c.pool(&c.rows.pools[i])
		}
	}
	if c.changed[KindWorkspace] {
		for i := range c.rows.workspaces {
			c.workspace(&c.rows.workspaces[i])
		}
	}
	if c.changed[KindServer] {
		for i := range c.rows.servers {
			s := &c.rows.servers[i]
			c.name(s.ref(), s.Name)
		}
	}
}

func (c *checker) key(k *Key, workspaces map[string]bool) {
	if workspaces[k.Workspace] {
		return
	}
	if ref := k.ref(); !c.hasParseError(ref) {
		c.workspaceReference(ref, "workspace", k.Workspace, workspaces)
	}
}

// ValidName reports whether text is a valid name of a row, a daemon or an
// availability zone: 1 to 64 characters of a-z, 0-9, dot, underscore and hyphen.
func ValidName(text string) bool {
	if text == "" || len(text) > MaxNameBytes {
		return false
	}
	for i := 0; i < len(text); i++ {
		if ch := text[i]; (ch < 'a' || ch > 'z') && (ch < '0' || ch > '9') && ch != '.' && ch != '_' && ch != '-' {
			return false
		}
	}
	return true
}

const nameRemedy = "use 1 to 64 characters of a-z, 0-9, '.', '_' and '-'"

func (c *checker) name(ref RowRef, name string) {
	if !ValidName(name) {
		c.errs.add(ReasonBadName, ref, "", name, nameRemedy)
	}
}

// require adds an error for the value of a setting unless ok.
func (c *checker) require(ref RowRef, ok bool, key string, value any, remedy string) {
	if !ok {
		c.errs.add(ReasonBadValue, ref, key, fmt.Sprint(value), remedy)
	}
}

// These remedies are formatted once and not in each check, since an edit checks many
// rows and each check needs its remedy even if the value is valid.
var (
	importanceRemedy     = wholeNumberRemedy(0, int64(LeastImportance))
	attemptCreditsRemedy = wholeNumberRemedy(0, MaxAttemptCredits)
	bodyRemedy           = wholeNumberRemedy(0, MaxBodyBytes)
	methodsRemedy        = wholeNumberRemedy(0, MaxMethods)
	burstRemedy          = wholeNumberRemedy(1, MaxBurst)
)

func (c *checker) route(r *Route, pools, workspaces map[string]bool) {
	ref := r.ref()
	c.name(ref, r.Name)
	if c.hasParseError(ref) {
		return
	}
	remedy, ok := checkPath(r.PathPrefix)
	c.require(ref, ok, "path", r.PathPrefix, remedy)
	c.methods(ref, r.Methods)
	if !pools[r.Pool] && c.parsed(TablePools) {
		c.errs.add(ReasonDanglingReference, ref, "pool", r.Pool, "add the section [pool "+r.Pool+"] to the pools table or use an existing pool")
	}
	c.require(ref, r.Importance <= LeastImportance, "importance", r.Importance, importanceRemedy)
	c.require(ref, r.Timeout >= time.Millisecond && r.Timeout <= MaxTimeout, "timeout", r.Timeout, "use 1ms to 10m")
	c.require(ref, r.AttemptCredits >= 0 && r.AttemptCredits <= MaxAttemptCredits, "credits", r.AttemptCredits, attemptCreditsRemedy)
	c.require(ref, r.MaxBodyBytes >= 0 && r.MaxBodyBytes <= MaxBodyBytes, "max_body", r.MaxBodyBytes, bodyRemedy)
	c.require(ref, !r.Open || r.Idempotent, "open", "true",
		"set idempotent = true or open = false: a non-idempotent request needs a ticket, and tickets belong to workspaces")
	c.require(ref, !r.Open || len(r.Workspaces) == 0, "workspaces", strings.Join(r.Workspaces, ", "),
		"remove 'workspaces' or 'open': an open route checks no key and admits everybody")
	for i, name := range r.Workspaces {
		c.require(ref, i == 0 || name != r.Workspaces[i-1], "workspaces", name, "name each workspace once")
		c.workspaceReference(ref, "workspaces", name, workspaces)
	}
}

func (c *checker) methods(ref RowRef, methods []string) {
	c.require(ref, len(methods) <= MaxMethods, "methods", len(methods), methodsRemedy)
	for i, method := range methods {
		valid := method != "" && len(method) <= MaxMethods && strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == ""
		c.require(ref, valid, "methods", method, "use HTTP methods in upper case, separated by commas; leave the line out for all methods")
		c.require(ref, i == 0 || method != methods[i-1], "methods", method, "name each method once")
	}
}

// workspaceReference checks that the workspace named by a setting exists.
func (c *checker) workspaceReference(ref RowRef, key, name string, workspaces map[string]bool) {
	if !workspaces[name] && c.parsed(TablePools) {
		c.errs.add(ReasonDanglingReference, ref, key, name, "add the section [workspace "+name+"] to the pools table or use an existing workspace")
	}
}

// ambiguousRoutes adds an error for each route that has the path prefix and a method
// of another route.
func (c *checker) ambiguousRoutes() {
	type pathAndMethod struct{ path, method string }
	routeOf := map[pathAndMethod]string{}
	for i := range c.rows.routes {
		r := &c.rows.routes[i]
		if c.hasParseError(r.ref()) {
			continue
		}
		methods := r.Methods
		if len(methods) == 0 {
			methods = []string{""}
		}
		for _, method := range methods {
			key := pathAndMethod{r.PathPrefix, method}
			if other, taken := routeOf[key]; taken && other != r.Name {
				c.errs.add(ReasonAmbiguousRoute, r.ref(), "path", strings.TrimSpace(method+" "+r.PathPrefix), "change path or methods here or in [route "+other+"]")
				break
			}
			routeOf[key] = r.Name
		}
	}
}

func (c *checker) pool(p *Pool) {
	ref := p.ref()
	c.name(ref, p.Name)
	if c.hasParseError(ref) {
		return
	}
	c.require(ref, p.WarmUp >= 0 && p.WarmUp <= MaxWarmUp, "warm_up", p.WarmUp, "use 0s to 10m")
	c.require(ref, p.RetryRatio >= 0 && p.RetryRatio <= 1, "retry_ratio", p.RetryRatio, "use 0 to 1")
}

func (c *checker) workspace(w *Workspace) {
	ref := w.ref()
	c.name(ref, w.Name)
	if c.hasParseError(ref) {
		return
	}
	// NaN fails these comparisons.
	c.require(ref, w.Rate > 0 && w.Rate <= MaxRate, "rate", w.Rate, "use a number of requests per second over 0 and at most 1e9")
	c.require(ref, w.Burst >= 1 && w.Burst <= MaxBurst, "burst", w.Burst, burstRemedy)
}

func wholeNumberRemedy(low, high int64) string {
	return fmt.Sprintf("use a whole number from %d to %d", low, high)
}

// checkPath reports whether a path prefix is valid, and the remedy if it is not.
func checkPath(path string) (remedy string, ok bool) {
	switch {
	case path == "/":
		return "", true
	case !strings.HasPrefix(path, "/") || strings.HasSuffix(path, "/"):
		return "start with '/' and do not end with '/'", false
	case len(path) > MaxPathBytes:
		return fmt.Sprintf("use at most %d characters", MaxPathBytes), false
	case !MatchablePath(path):
		return "use no empty, '.' or '..' segments", false
	case path == reservedPrefix || strings.HasPrefix(path, reservedPrefix+"/"):
		return "use another path: the daemon's own endpoints are below " + reservedPrefix, false
	}
	for i := 0; i < len(path); i++ {
		if ch := path[i]; !isAlphanumeric(ch) && !strings.ContainsRune("/-._~:@!$&()*+,", rune(ch)) {
			return "use letters, digits and -._~:@!$&()*+, in segments", false
		}
	}
	return "", true
}

func isAlphanumeric(ch byte) bool {
	return ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z' || ch >= '0' && ch <= '9'
}
