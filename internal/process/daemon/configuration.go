package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/membership"
	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/version/freshness"
	"tarragonshore.example/tarragonshore/internal/version/history"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Limits and intervals for reading the tables stream. readLimit and readErrorDelay also
// apply to the keepers stream.
const (
	readLimit      = 256 // records per read
	readErrorDelay = 250 * time.Millisecond
	// tablesReplyWait is the time that the reply to a request for another member's
	// tables has before tables are requested again.
	tablesReplyWait = 250 * time.Millisecond
	// freshnessCacheTTL is how long a freshness decision is reused, so that it is
	// not computed for every request.
	freshnessCacheTTL     = 50 * time.Millisecond
	snapshotCheckInterval = time.Second // between two checks whether a snapshot is due
)

// tablesInForce is the version of the tables that a daemon applies. It is
// immutable; a newer version replaces the pointer to it.
type tablesInForce struct {
	Version tables.Version
	Tables  *tables.Tables
}

// drained reports whether the pools table takes a backend server out of use.
func (t *tablesInForce) drained(server string) bool {
	row, ok := t.Tables.Server(server)
	return ok && row.Drain
}

// configuration reads the tables stream and decides whether the tables are fresh
// enough to check keys against. mu guards the fields below it.
type configuration struct {
	log      platform.Log
	members  *members
	pollWait time.Duration
	// onChange is called, without the lock, with each new version.
	onChange func(*tablesInForce)

	inForce atomic.Pointer[tablesInForce]
	// freshUntil is the time, in Unix nanoseconds, until which this daemon's last
	// read of the end of the stream makes the tables fresh.
	freshUntil atomic.Int64

	mu        sync.Mutex
	reader    *history.Reader
	readAt    time.Time // start of the last read that reached the end of the stream
	decision  freshness.Decision
	decidedAt time.Time
}

func newConfiguration(log platform.Log, members *members, pollWait, retention time.Duration, rng *rand.Rand) *configuration {
	c := &configuration{
		log:      log,
		members:  members,
		pollWait: pollWait,
		reader:   history.NewReader(retention, rng),
	}
	c.inForce.Store(&tablesInForce{Tables: tables.Empty()})
	return c
}

// current returns the tables in force. A request uses the same tables until it
// ends.
func (c *configuration) current() *tablesInForce { return c.inForce.Load() }

// run reads the stream until ctx ends.
func (c *configuration) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := c.readOnce(ctx); err != nil && ctx.Err() == nil {
			logging.InfoEvent("tables", "tables-read-failed", "error", err.Error())
			pause(ctx, readErrorDelay)
		}
		c.catchUp(ctx)
	}
}

// readOnce reads one batch of records. At the end of the stream the read is a
// long poll.
func (c *configuration) readOnce(ctx context.Context) error {
	c.mu.Lock()
	from, atEnd := c.reader.ReadFrom(), c.reader.AtEnd()
	c.mu.Unlock()
	wait := time.Duration(0)
	if atEnd {
		wait = c.pollWait
	}
	limit := readLimit
	if from == 0 {
		// The first read is for the bounds of the stream, by which the reader decides
		// whether to skip old records and begin at a snapshot.
		limit = 1
	}
	begun := time.Now()
	batch, err := c.log.Read(ctx, platform.StreamTables, from, limit, wait)
	if err != nil {
		return err
	}
	c.mu.Lock()
	events := c.reader.Apply(batch, time.Now())
	if c.reader.AtEnd() {
		c.readAt = begun
		c.freshUntil.Store(begun.Add(freshness.MaxAge).UnixNano())
	}
	c.mu.Unlock()
	logHistory(events)
	c.putInForce()
	return nil
}

// logHistory writes a log line per event.
func logHistory(events []history.Event) {
	for _, event := range events {
		switch e := event.(type) {
		case history.Accepted:
			logging.InfoEvent("tables", "edit-accepted", "version", e.Version, "offset", e.Offset, "id", e.ID, "author", e.Author, "rows", len(e.Changes))
		case history.Rejected:
			logging.InfoEvent("tables", "edit-rejected", "offset", e.Offset, "id", e.ID, "reason", string(e.Reason), "base", e.Base, "current", e.Current)
		case history.SnapshotAdopted:
			logging.InfoEvent("tables", "snapshot-adopted", "version", e.Version, "as_of", e.AsOf, "from_peer", e.FromPeer)
		case history.SnapshotIgnored:
			logging.InfoEvent("tables", "snapshot-ignored", "version", e.Version, "as_of", e.AsOf, "reason", string(e.Reason))
		case history.Malformed:
			logging.InfoEvent("tables", "record-malformed", "offset", e.Offset, "error", e.Err.Error())
		case history.EndRegressed:
			logging.WarningEvent("tables", "stream-behind", "next", e.Next, "known", e.Known,
				"remedy", "if the platform does not catch up, its log was lost: publish the tables again on a new log")
		case history.Gap:
			logging.InfoEvent("tables", "tables-gap", "next", e.Next, "first", e.First)
		}
	}
}

// putInForce puts the reader's version in force and publishes its number to the
// other members.
func (c *configuration) putInForce() {
	c.mu.Lock()
	next := &tablesInForce{Version: c.reader.Version(), Tables: c.reader.Tables()}
	status := membership.TablesStatus{Version: uint64(next.Version), Offset: uint64(c.reader.Next()), ReadAt: c.readAt}
	changed := next.Version != c.current().Version
	if changed {
		c.inForce.Store(next)
		c.decidedAt = time.Time{} // the cached decision was about the previous version
	}
	c.mu.Unlock()
	c.members.service.SetTablesStatus(status)
	if changed {
		logging.InfoEvent("tables", "version-in-force", "version", next.Version, "digest", next.Tables.Digest())
		c.onChange(next)
	}
}

// position returns the offset of the next record to read and the milliseconds since
// the end of the stream was last read, or -1 if it never was.
func (c *configuration) position(now time.Time) (uint64, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAt.IsZero() {
		return uint64(c.reader.Next()), -1
	}
	return uint64(c.reader.Next()), now.Sub(c.readAt).Milliseconds()
}

// age returns the seconds since the end of the stream was last read, or -1 if it
// never was.
func (c *configuration) age(now time.Time) float64 {
	if _, ms := c.position(now); ms >= 0 {
		return float64(ms) / 1000
	}
	return -1
}

// checkFreshness returns a refusal if the tables cannot be shown to be current, in
// which case a withdrawn key could still be accepted.
func (c *configuration) checkFreshness(now time.Time) *problem.Problem {
	if now.UnixNano() < c.freshUntil.Load() {
		return nil
	}
	decision := c.decideFreshness(now)
	if decision.MayServe() {
		return nil
	}
	return problem.New(problem.KindTablesStale, string(decision.Reason)).WithRetryAfter(time.Second)
}

// decideFreshness returns the freshness decision, which is at most freshnessCacheTTL
// old.
func (c *configuration) decideFreshness(now time.Time) freshness.Decision {
	reports, asked, answered := c.members.service.TablesReports()
	view := c.members.service.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.decidedAt) < freshnessCacheTTL {
		return c.decision
	}
	in := freshness.Input{
		Now:       now,
		ReadAt:    c.readAt,
		HasTables: c.reader.Version() > 0,
		Offset:    c.reader.Next(),
		Known:     view.Known,
		Reachable: view.Alive,
		Asked:     asked,
		Answered:  answered,
	}
	for _, report := range reports {
		in.Reports = append(in.Reports, freshness.Report{
			Member:      report.Member,
			Age:         report.Age,
			Offset:      platform.Offset(report.Offset),
			RequestedAt: report.RequestedAt,
			Reachable:   view.Find(report.Member) != nil,
		})
	}
	previous := c.decision.State
	c.decision, c.decidedAt = freshness.Decide(in), now
	if c.decision.State != previous {
		logging.InfoEvent("tables", "freshness", "state", c.decision.State, "reason", string(c.decision.Reason), "from", c.decision.FetchFrom)
	}
	return c.decision
}

// noTablesProblem returns the refusal of a daemon that has no tables yet.
func (c *configuration) noTablesProblem() *problem.Problem {
	return problem.New(problem.KindTablesStale, "this daemon has started and has no tables yet").WithRetryAfter(time.Second)
}

// tablesKnown reports whether this daemon has tables, or has read the stream to
// its end and found none.
func (c *configuration) tablesKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader.Version() > 0 || !c.readAt.IsZero()
}

// canServe reports whether requests with keys can be served.
func (c *configuration) canServe() bool {
	return c.tablesKnown() && c.checkFreshness(time.Now()) == nil
}

// checkKey returns a refusal if the key of a call is not valid in this daemon's
// tables.
func (c *configuration) checkKey(now time.Time, current *tablesInForce, call wire.Context) *problem.Problem {
	if current.Version == 0 {
		return c.noTablesProblem() // this daemon has just started; another upstream can take the attempt
	}
	if call.Open {
		return nil
	}
	workspace, ok := current.Tables.WorkspaceOfKey(tables.KeyDigest(call.KeyDigest))
	if !ok || workspace != call.Workspace {
		return problem.New(problem.KindKeyUnknown, "the key is not in the routes table of version "+versionText(current.Version))
	}
	return c.checkFreshness(now)
}

// catchUp requests the tables of another member if they cannot be read from the
// stream, or if the freshness decision names a member with newer tables.
func (c *configuration) catchUp(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	needsSnapshot := c.reader.NeedsPeerSnapshot() || c.readAt.IsZero()
	c.mu.Unlock()
	from := ""
	if now.UnixNano() >= c.freshUntil.Load() {
		from = c.decideFreshness(now).FetchFrom
	}
	if !needsSnapshot && from == "" {
		return
	}
	if from == "" {
		from = c.randomMember()
	}
	if from == "" {
		return
	}
	link, err := c.members.link(ctx, from)
	if err != nil {
		return
	}
	_ = link.Send(wire.TablesRequest{})
	pause(ctx, tablesReplyWait)
}

// randomMember returns a random member other than this one, or "".
func (c *configuration) randomMember() string {
	view := c.members.service.View()
	if len(view.Members) == 0 {
		return ""
	}
	begin := rand.IntN(len(view.Members))
	for i := range view.Members {
		member := view.Members[(begin+i)%len(view.Members)]
		if member.Name != c.members.self {
			return member.Name
		}
	}
	return ""
}

// onTablesRequest sends this daemon's tables to a peer.
func (c *configuration) onTablesRequest(link peer.Link, m *wire.TablesRequest, keepers []wire.GroupKeeper) {
	c.mu.Lock()
	snapshot, ok := c.reader.Snapshot()
	c.mu.Unlock()
	reply := wire.TablesReply{Number: m.Number, Keepers: keepers, Alive: c.members.countAliveExcept(link.Peer().Member)}
	if ok {
		if encoded, err := snapshot.Encode(); err == nil {
			reply.Snapshot = encoded
		}
	}
	_ = link.Send(reply)
}

// onTablesReply stores how many members a peer considers alive, and adopts its tables
// if they are newer than this daemon's.
func (c *configuration) onTablesReply(m *wire.TablesReply) {
	c.members.reportedAlive.Store(int64(m.Alive))
	if len(m.Snapshot) == 0 {
		return
	}
	snapshot, err := history.DecodeSnapshot(m.Snapshot)
	if err != nil {
		logging.InfoEvent("tables", "snapshot-malformed", "error", err.Error())
		return
	}
	c.mu.Lock()
	event := c.reader.AdoptPeerSnapshot(snapshot, time.Now())
	c.mu.Unlock()
	if event != nil {
		logHistory([]history.Event{event})
	}
	c.putInForce()
}

// appendSnapshots appends a snapshot of the tables to the stream whenever one is due,
// until ctx ends. Without it the tables would be lost when the stream's retention
// expires.
func (c *configuration) appendSnapshots(ctx context.Context) {
	for pause(ctx, snapshotCheckInterval) {
		c.mu.Lock()
		record, due := c.reader.DueSnapshot(time.Now())
		c.mu.Unlock()
		if !due {
			continue
		}
		offset, err := c.log.Append(ctx, platform.StreamTables, record)
		logging.InfoEvent("tables", "snapshot-appended", "offset", offset, "bytes", len(record), "error", errorText(err))
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
