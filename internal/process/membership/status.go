package membership

import (
	"slices"
	"time"
)

// Times of the reports about freshness.
const (
	// InquiryAge is the age of the own read of the log's end from which on
	// other members are asked. It leaves several rounds before the read is too
	// old to be trusted.
	InquiryAge = 2 * time.Second
	// inquiryInterval is the time between two rounds of questions.
	inquiryInterval = 500 * time.Millisecond
	// inquiryFanout is the number of random members asked per round, besides
	// the one that is said to have read last.
	inquiryFanout = 2
	// reportTime is how long a report is kept.
	reportTime = 15 * time.Second
	// askWindow is the time over which answers to inquiries are counted.
	askWindow = 4 * time.Second
)

// ask is one question for the status.
type ask struct {
	number   uint64
	at       time.Time
	answered bool
}

type reporting struct {
	reports     []Report // newest per member
	hint        string   // member that is said to have read last
	hintReadAt  time.Time
	asks        []ask
	nextInquiry time.Time
}

// fillStatus adds the own status and the freshest of others.
func (c *Core) fillStatus(d *datagram) {
	if !c.status.ReadAt.IsZero() {
		d.Status = &wireStatus{Version: c.status.Version, Offset: c.status.Offset, AgeMS: ageMS(c.now.Sub(c.status.ReadAt))}
	}
	if r := c.freshest(); r != nil && r.Member != d.From {
		d.Freshest = &wireStatus{Version: r.Version, Offset: r.Offset, AgeMS: ageMS(c.now.Sub(r.ReadAt())), Member: r.Member}
	}
}

// freshest returns the report of the latest read that is still worth passing on.
func (c *Core) freshest() *Report {
	var best *Report
	for i := range c.reports {
		r := &c.reports[i]
		if c.now.Sub(r.ReadAt()) < reportTime && (best == nil || r.ReadAt().After(best.ReadAt())) {
			best = r
		}
	}
	return best
}

// noteStatus keeps what a datagram says about reads of the log. Without a question
// its transit time is unknown, so this only tells whom to ask.
func (c *Core) noteStatus(d *datagram) {
	note := func(member string, s *wireStatus) {
		readAt := c.now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
		if readAt.After(c.hintReadAt) && member != c.self.member.Name {
			c.hint, c.hintReadAt = member, readAt
		}
	}
	if d.Status != nil {
		note(d.From, d.Status)
	}
	if d.Freshest != nil {
		note(d.Freshest.Member, d.Freshest)
	}
}

// noteAnswer keeps the reports of an answer, with ages counted from before the
// question was sent.
func (c *Core) noteAnswer(d *datagram, p pendingProbe) {
	for i := range c.asks {
		if c.asks[i].number == p.number {
			c.asks[i].answered = true
		}
	}
	if d.Status != nil {
		c.report(d.From, d.Status, p.sentAt, true)
	}
	if d.Freshest != nil && d.Freshest.Member != c.self.member.Name {
		c.report(d.Freshest.Member, d.Freshest, p.sentAt, false)
	}
}

func (c *Core) report(member string, s *wireStatus, askedAt time.Time, direct bool) {
	r := Report{
		Member: member, Version: s.Version, Offset: s.Offset, Direct: direct,
		Age: time.Duration(s.AgeMS) * time.Millisecond, AskedAt: askedAt,
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

// Reports returns what other members told about their reads in the last seconds.
// The slice is a copy.
func (c *Core) Reports(now time.Time) []Report {
	c.reports = slices.DeleteFunc(c.reports, func(r Report) bool { return now.Sub(r.AskedAt) > reportTime })
	return slices.Clone(c.reports)
}

// Answers counts the random members that were asked for their status in the last
// seconds, and those that answered. Both are 0 while the own read is recent.
func (c *Core) Answers(now time.Time) (asked, answered int) {
	for _, a := range c.asks {
		switch age := now.Sub(a.at); {
		case age > askWindow:
		case a.answered:
			asked++
			answered++
		case age > directTimeout:
			asked++
		}
	}
	return asked, answered
}

// inquire asks other members for their status while the own read is old.
func (c *Core) inquire() {
	if c.now.Sub(c.status.ReadAt) <= InquiryAge || c.now.Before(c.nextInquiry) {
		return
	}
	c.nextInquiry = c.now.Add(inquiryInterval)
	c.asks = slices.DeleteFunc(c.asks, func(a ask) bool { return c.now.Sub(a.at) > askWindow })
	hinted := c.nodes[c.hint]
	if hinted != nil && c.now.Sub(c.hintReadAt) < reportTime {
		c.probe(hinted, purposeAccuse) // not a random choice, so not counted
	}
	for _, n := range c.sample(inquiryFanout, nil) {
		c.probe(n, purposeInquire)
	}
}
