// Package rateshare enforces the rate limit of each workspace over all daemons by
// dividing it between them by demand.
//
// The requests of a workspace enter at any host, a few per second at each in
// changing proportions, and occasionally at several times the workspace's rate. A
// fixed share per host would refuse requests at one host while tokens expire at
// others. Instead, all daemons report to each other what they admitted. Each keeps
// its own copy of the workspace's token bucket and, until the next report, may take
// its share of the tokens, in proportion to its demand. The shares add up to the
// whole without a central allocator that could fail: after a restart of all
// processes, the daemons divide the rate again as soon as they have exchanged
// reports.
//
// A daemon whose reports are missing keeps its share for as long as it may still
// serve requests, which the caller of Reconcile decides. Between two reports of a
// member its usage is estimated and charged to the bucket, and the next report
// corrects the estimate. Otherwise every copy of the bucket would accumulate the
// tokens that members without reports take, and hand them out a second time.
//
// The types are pure state machines and not safe for concurrent use.
package rateshare

import (
	"math"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

const (
	// baseDemand is added to every daemon's demand, in requests per second, so that
	// a daemon without demand can admit its first requests.
	baseDemand = 0.3
	// demandTimeConstant is the time constant of the smoothed demand.
	demandTimeConstant = 2 * time.Second
	// initialShare is the fraction of the burst that a new bucket holds. A restart of
	// the whole fleet must not grant a full burst again. maxInitialShare applies if
	// more is needed to give every daemon its first request.
	initialShare    = 0.25
	maxInitialShare = 0.5
	// sameStartWindow is how much earlier than this daemon a member may have started
	// for the whole admitted count of its first report to be charged. The count of an
	// older member includes requests from before this daemon's bucket existed.
	sameStartWindow = 5 * time.Second
	// equalDivisionWeight is the weight of an equal division relative to the division by
	// demand: demands of a few requests per second are measured too coarsely to be used
	// alone.
	equalDivisionWeight = 1.0
	// The overdraft is what all daemons together may take beyond their shares between
	// two reports: overdraftShare of the burst plus overdraftTokens. It is available
	// in full while the bucket is filled to fullOverdraftLevel of the burst and shrinks
	// as the bucket empties. Without it, shares of one or two tokens would refuse
	// requests that arrive in pairs. The refill pays it back before more is admitted.
	fullOverdraftLevel = 0.4
	overdraftShare     = 0.15
	overdraftTokens    = 16
	// lateReportAge is the age of a member's newest report above which the next one
	// counts as late or lost. Members report every 0.5 s.
	lateReportAge = 700 * time.Millisecond
	// minShare is the least share of this daemon that is assumed when the usage of
	// members with late reports is extrapolated from this daemon's usage.
	minShare = 0.005
	// reportLag is the mean time until a request that one daemon admits is charged to
	// the other copies of the bucket: half a report interval plus half the time
	// between two calls of Reconcile.
	reportLag = 400 * time.Millisecond
	// surgeFactor is the demand, as a multiple of the rate, that a workspace is assumed
	// to reach within a reportLag when tokens beyond a daemon's share are granted.
	surgeFactor = 5.0
	// toleranceShare is the fraction of the tolerance that may be used by requests
	// beyond a daemon's share; the rest covers late reports.
	toleranceShare = 0.9
	// maxBeyondShare bounds the requests that a daemon may admit beyond its share
	// between two reports.
	maxBeyondShare = 2
	// demandUnits is the number of demand units on the wire per request per second.
	demandUnits = 100
	// idleReports is the number of reports that include a workspace after its last
	// request, so that the loss of one of them does no harm.
	idleReports = 4
	// reserveShare is the fraction of the burst that a request must leave for each
	// higher importance in use. maxReserveShare bounds the sum over these importances.
	reserveShare    = 0.12
	maxReserveShare = 0.4
	// maxReturnedTime bounds the returned tokens to what the daemon's share of the rate
	// yields in that time.
	maxReturnedTime = time.Second
	// importanceRecency is how long after its last request an importance counts as in
	// use.
	importanceRecency = 10 * time.Second
	// importanceLevels is the number of importances that are told apart. Requests less
	// important than the last level are treated as of the last level.
	importanceLevels = 8
	// Bounds of the wait that Take returns, which callers get as Retry-After.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
)

// Tolerance is by how much the admitted requests of a workspace in any Window may
// exceed rate x Window + burst: by the fraction Overage of that plus Slack requests.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// excess returns the tolerated number of requests in a Window beyond a limit.
func (t Tolerance) excess(l Limit) float64 {
	return t.Overage*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack
}

// Limit is the rate limit of one workspace over the whole fleet.
type Limit struct {
	Rate  float64 // requests per second; 0: unlimited
	Burst float64 // requests
}

// Member is the newest report of another daemon.
type Member struct {
	Name        string
	Incarnation uint64
	// Usage holds the reported usage by workspace, nil if the member has not
	// reported yet.
	Usage map[string]Usage
	// ReportNumber increases with every report of one incarnation.
	ReportNumber uint64
	// ReportAge is the time since the newest report arrived.
	ReportAge time.Duration
}

// Usage is what a member reported about one workspace.
type Usage struct {
	Demand   float64 // requests per second, admitted or not
	Admitted uint64  // since the member's start
}

// UsageByWorkspace indexes the entries of a received report by workspace.
func UsageByWorkspace(reported []wire.WorkspaceUsage) map[string]Usage {
	usage := make(map[string]Usage, len(reported))
	for _, entry := range reported {
		usage[entry.Workspace] = Usage{Demand: float64(entry.Demand) / demandUnits, Admitted: entry.Admitted}
	}
	return usage
}

// memberReport is the last report of one member about one workspace that was applied to
// the bucket.
type memberReport struct {
	seen        bool // false: the member has not reported on the workspace
	incarnation uint64
	number      uint64
	admitted    uint64
	// estimated is the usage, in requests, that was charged for the member since that report.
	estimated float64
}

// bucket is this daemon's copy of a workspace's bucket.
type bucket struct {
	limit               Limit
	level               float64 // tokens in the whole bucket at updatedAt; negative: debt
	updatedAt           time.Time
	share               float64 // this daemon's share of the bucket, 0 to 1
	taken               float64 // tokens taken by this daemon since updatedAt
	admitted            uint64  // requests admitted by this daemon since its start
	requested           int     // requests at this daemon since the last report, admitted or not
	reportsSinceRequest int     // reports since the last request, including the one that covers it
	beyondShare         int     // requests admitted beyond the share since the last report
	returned            int     // tokens given back by Return that Take has not used again
	// lastRequestAt is when a request of each importance last arrived here.
	lastRequestAt [importanceLevels]time.Time
	demand        float64        // smoothed demand at this daemon, in requests per second
	othersDemand  float64        // demand at all other daemons
	daemons       float64        // daemons that may be admitting requests, this one included
	reports       []memberReport // by index of the member, see Limiter.indexes
}

// Limiter holds this daemon's copies of the buckets of all workspaces, and decides with
// them whether requests are admitted.
type Limiter struct {
	ownIncarnation uint64
	tolerance      Tolerance
	buckets        map[string]*bucket
	indexes        map[string]int // of each member that has ever reported, by name
}

// New returns a limiter without any bucket. The incarnation of a daemon is its start
// time in nanoseconds.
func New(incarnation uint64, tolerance Tolerance) *Limiter {
	return &Limiter{ownIncarnation: incarnation, tolerance: tolerance, buckets: make(map[string]*bucket), indexes: make(map[string]int)}
}

// bucket returns the bucket of a workspace and creates it if there is none.
func (l *Limiter) bucket(now time.Time, workspace string, limit Limit, daemons int) *bucket {
	b := l.buckets[workspace]
	if b == nil {
		n := float64(max(1, daemons))
		b = &bucket{limit: limit, updatedAt: now, share: 1 / n, daemons: n}
		// One token for each daemon's first request, up to maxInitialShare of the burst.
		b.level = max(initialShare*limit.Burst, min(n, maxInitialShare*limit.Burst))
		l.buckets[workspace] = b
	}
	return b
}

// Report ends a report interval and returns the report for the other daemons. It
// covers the workspaces that had requests in one of the last idleReports intervals.
func (l *Limiter) Report(interval time.Duration) []wire.WorkspaceUsage {
	weight := min(1, float64(interval)/float64(demandTimeConstant))
	usage := make([]wire.WorkspaceUsage, 0, len(l.buckets))
	for workspace, b := range l.buckets {
		b.demand += weight * (float64(b.requested)/interval.Seconds() - b.demand)
		if b.requested > 0 {
			b.reportsSinceRequest = 0
		}
		b.requested, b.beyondShare = 0, 0
		if b.reportsSinceRequest++; b.reportsSinceRequest <= idleReports {
			usage = append(usage, wire.WorkspaceUsage{Workspace: workspace, Demand: uint32(math.Round(b.demand * demandUnits)), Admitted: b.admitted})
		}
	}
	return usage
}
