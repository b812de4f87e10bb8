package runqueue

import (
	"math"
	"time"
)

const (
	// usageTimeConstant is the time constant with which a workspace's use of the server's
	// time is forgotten. A longer one lets a workspace that was idle displace the others
	// for longer; a shorter one takes a burst of a few requests for a greater share.
	usageTimeConstant = 500 * time.Millisecond
	// A workspace is over its fair share if it has used more than shareTolerance times the
	// mean of the workspaces that wait, and shareSlackRuns more requests: the use of equal
	// workspaces varies by about that much, and among them the objective decides.
	shareTolerance = 1.25
	shareSlackRuns = 4
	// forgetInterval is the time between checks for workspaces that are idle, and
	// forgottenUsage the use, in seconds of service time, below which they are forgotten.
	forgetInterval = 4 * usageTimeConstant
	forgottenUsage = 0.002
	// maxRoutes bounds the number of routes whose service times are kept; the one unused
	// for the longest time is forgotten.
	maxRoutes = 256
	// routeSmoothingRuns is the number of runs over which the service time of a route is
	// averaged. Fewer runs follow a server that becomes slower sooner.
	routeSmoothingRuns = 32
)

// share is a workspace's use of the server's time.
type share struct {
	workspace string
	// usage is the service time used, in seconds, each part multiplied by the weight of
	// the time when it was used (fairShares.weight).
	usage   float64
	waiting int // attempts, of all importances
	running int
}

// fairShares holds the use of the server's time by workspaces. Uses are weighted by
// exp(t/usageTimeConstant) instead of decaying, so that comparing them takes no update;
// the weights are reset every forgetInterval.
type fairShares struct {
	workspaces map[string]*share
	resetAt    time.Time
}

// of returns the share of a workspace.
func (f *fairShares) of(workspace string) *share {
	s := f.workspaces[workspace]
	if s == nil {
		if f.workspaces == nil {
			f.workspaces = make(map[string]*share)
		}
		s = &share{workspace: workspace}
		f.workspaces[workspace] = s
	}
	return s
}

// weight returns the weight of service time used at now. It resets the weights, and
// forgets the workspaces that are idle, when that is due.
func (f *fairShares) weight(now time.Time) float64 {
	if f.resetAt.IsZero() {
		f.resetAt = now
	}
	weight := math.Exp(now.Sub(f.resetAt).Seconds() / usageTimeConstant.Seconds())
	if now.Sub(f.resetAt) < forgetInterval {
		return weight
	}
	f.resetAt = now
	for name, s := range f.workspaces {
		s.usage /= weight // 0 if the weight has overflowed
		if s.waiting+s.running == 0 && s.usage < forgottenUsage {
			delete(f.workspaces, name)
		}
	}
	return 1
}

// started charges the expected cost of an attempt that starts.
func (f *fairShares) started(now time.Time, s *share, cost time.Duration) {
	s.running++ // first, so that the workspace is not taken for idle
	weight := f.weight(now)
	s.usage += cost.Seconds() * weight
}

// finished corrects the charge of an attempt that has ended by the difference between its
// service time and its expected cost, if the service time is known.
func (f *fairShares) finished(now time.Time, s *share, difference time.Duration, known bool) {
	weight := f.weight(now)
	s.running--
	if known {
		s.usage = max(0, s.usage+difference.Seconds()*weight)
	}
}

// limit returns the weighted use above which a workspace is over its fair share, given the
// flows that wait. Workspaces that do not wait have got what they asked for, so that those
// that do divide the rest.
func (f *fairShares) limit(now time.Time, flows []*flow, serviceTime time.Duration) float64 {
	if len(flows) < 2 {
		return math.Inf(1)
	}
	weight := f.weight(now)
	total, n := 0.0, 0
	for _, flow := range flows {
		if flow.share != nil {
			total += flow.share.usage
			n++
		}
	}
	if n == 0 {
		return math.Inf(1)
	}
	return shareTolerance*total/float64(n) + shareSlackRuns*serviceTime.Seconds()*weight
}

// over reports whether the workspace has used more than limit. Attempts without an
// objective have no share and are never over it.
func (s *share) over(limit float64) bool { return s != nil && s.usage > limit }

// routeCost is the smoothed service time of a route.
type routeCost struct {
	mean   time.Duration
	runs   int // at most routeSmoothingRuns
	lastAt time.Time
}

// routeCosts holds the service times of routes.
type routeCosts struct{ routes map[string]*routeCost }

// record adds a service time to the average of its route.
func (c *routeCosts) record(now time.Time, route string, serviceTime time.Duration) {
	r := c.routes[route]
	if r == nil {
		if c.routes == nil {
			c.routes = make(map[string]*routeCost)
		}
		if len(c.routes) >= maxRoutes {
			c.forgetOldest()
		}
		r = &routeCost{}
		c.routes[route] = r
	}
	r.runs = min(r.runs+1, routeSmoothingRuns)
	r.mean += (serviceTime - r.mean) / time.Duration(r.runs)
	r.lastAt = now
}

func (c *routeCosts) forgetOldest() {
	oldest := ""
	for name, r := range c.routes {
		if oldest == "" || r.lastAt.Before(c.routes[oldest].lastAt) {
			oldest = name
		}
	}
	delete(c.routes, oldest)
}

// expected returns the service time of a route, or fallback if it is not known.
func (c *routeCosts) expected(route string, fallback time.Duration) time.Duration {
	if r := c.routes[route]; r != nil {
		return r.mean
	}
	return fallback
}
