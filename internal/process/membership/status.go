package membership

import (
	"slices"
	"time"
)

// Intervals and limits of status queries, by which this daemon learns how current the
// tables of other members are.
const (
	// StatusQueryAge is the age of this daemon's last read of the end of the log
	// above which it queries other members. It leaves time for several rounds
	// before the read is too old to be trusted.
	StatusQueryAge = 2 * time.Second
	// statusQueryInterval is the time between two rounds of queries.
	statusQueryInterval = 500 * time.Millisecond
	// statusQueryFanout is the number of random members queried per round, in
	// addition to the member with the latest known read.
	statusQueryFanout = 2
	// reportRetention is how long a report is kept.
	reportRetention = 15 * time.Second
	// statusQueryWindow is the time over which queries and answers are counted.
	statusQueryWindow = 4 * time.Second
)

// statusQuery is a probe that requests the status of a random member.
type statusQuery struct {
	number   uint64
	sentAt   time.Time
	answered bool
}

// statusTracking is the state of status queries and of other members' reports.
type statusTracking struct {
	reports              []TablesReport // report with the latest read of each member
	likelyFreshest       string         // member with the latest read that a datagram mentioned
	likelyFreshestReadAt time.Time
	statusQueries        []statusQuery
	nextStatusQuery      time.Time
}

// fillStatus adds this daemon's status and the report with the latest read.
func (c *Core) fillStatus(d *datagram) {
	if !c.status.ReadAt.IsZero() {
		d.Status = &wireStatus{Version: c.status.Version, Offset: c.status.Offset, AgeMS: ageMS(c.now.Sub(c.status.ReadAt))}
	}
	if r := c.freshestReport(); r != nil && r.Member != d.From {
		d.Freshest = &wireStatus{Version: r.Version, Offset: r.Offset, AgeMS: ageMS(c.now.Sub(r.ReadAt())), Member: r.Member}
	}
}

// freshestReport returns the report with the latest read, if it is recent enough to be
// forwarded, or nil.
func (c *Core) freshestReport() *TablesReport {
	var best *TablesReport
	for i := range c.reports {
		r := &c.reports[i]
		if c.now.Sub(r.ReadAt()) < reportRetention && (best == nil || r.ReadAt().After(best.ReadAt())) {
			best = r
		}
	}
	return best
}

// updateLikelyFreshest records which member has the latest read of the log according to
// a datagram. The transit time of a datagram that answers no probe is unknown, so its
// ages are not stored as reports; they only select the member to query.
func (c *Core) updateLikelyFreshest(d *datagram) {
	note := func(member string, s *wireStatus) {
		readAt := c.now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
		if readAt.After(c.likelyFreshestReadAt) && member != c.self.member.Name {
			c.likelyFreshest, c.likelyFreshestReadAt = member, readAt
		}
	}
	if d.Status != nil {
		note(d.From, d.Status)
	}
	if d.Freshest != nil {
		note(d.Freshest.Member, d.Freshest)
	}
}

// storeReports stores the reports of a probe's answer. Their ages are counted from the
// time at which the probe was sent, so that no report looks fresher than it is.
func (c *Core) storeReports(d *datagram, p pendingProbe) {
	for i := range c.statusQueries {
		if c.statusQueries[i].number == p.number {
			c.statusQueries[i].answered = true
		}
	}
	if d.Status != nil {
		c.storeReport(d.From, d.Status, p.sentAt, true)
	}
	if d.Freshest != nil && d.Freshest.Member != c.self.member.Name {
		c.storeReport(d.Freshest.Member, d.Freshest, p.sentAt, false)
	}
}

// storeReport stores a report unless one with a later read of the member is known.
func (c *Core) storeReport(member string, s *wireStatus, requestedAt time.Time, direct bool) {
	r := TablesReport{
		Member: member, Version: s.Version, Offset: s.Offset, Direct: direct,
		Age: time.Duration(s.AgeMS) * time.Millisecond, RequestedAt: requestedAt,
	}
	for i := range c.reports {
		if c.reports[i].Member == member {
			if r.ReadAt().After(c.reports[i].ReadAt()) {
				c.reports[i] = r
			}
			return
		}
	}
	c.reports = append(c.reports, r)
}

// TablesReports returns the reports of the last reportRetention about other members' reads
// of the log. The slice is a copy.
func (c *Core) TablesReports(now time.Time) []TablesReport {
	c.reports = slices.DeleteFunc(c.reports, func(r TablesReport) bool { return now.Sub(r.RequestedAt) > reportRetention })
	return slices.Clone(c.reports)
}

// StatusQueryCounts returns how many status queries this daemon sent to random members
// in the last statusQueryWindow, and how many were answered. Queries that may still be
// answered within directTimeout are not counted. Both are 0 while this daemon's own read
// is recent.
func (c *Core) StatusQueryCounts(now time.Time) (asked, answered int) {
	for _, q := range c.statusQueries {
		switch age := now.Sub(q.sentAt); {
		case age > statusQueryWindow:
		case q.answered:
			asked++
			answered++
		case age > directTimeout:
			asked++
		}
	}
	return asked, answered
}

// queryStatus requests the status of other members while this daemon's last read of
// the log is older than StatusQueryAge.
func (c *Core) queryStatus() {
	if c.now.Sub(c.status.ReadAt) <= StatusQueryAge || c.now.Before(c.nextStatusQuery) {
		return
	}
	c.nextStatusQuery = c.now.Add(statusQueryInterval)
	c.statusQueries = slices.DeleteFunc(c.statusQueries, func(q statusQuery) bool { return c.now.Sub(q.sentAt) > statusQueryWindow })
	likely := c.nodes[c.likelyFreshest]
	if likely != nil && c.now.Sub(c.likelyFreshestReadAt) < reportRetention {
		c.probe(likely, purposeNotify) // not a random choice, so not counted
	}
	for _, n := range c.randomLiveMembers(statusQueryFanout, nil) {
		c.probe(n, purposeQueryStatus)
	}
}
