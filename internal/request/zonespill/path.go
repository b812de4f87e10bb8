package zonespill

import "time"

const (
	// pathWeight is the weight of the newest attempt in the smoothed path time.
	pathWeight = 1.0 / 16
	// pathHalvingTime is the time without an attempt after which a path time has decayed to
	// half: a zone that is avoided gets attempts again, the later the slower its path was.
	pathHalvingTime = 2 * time.Second
	// objectiveShare is the fraction of a route's latency objective above which the path
	// to a zone is too slow for the route.
	objectiveShare = 0.25
)

// pathTime is the smoothed path time to a zone.
type pathTime struct {
	seconds float64
	at      time.Time
}

// Paths measures the time that attempts to each zone take beyond queueing and service.
type Paths struct {
	zone   string
	byZone map[string]*pathTime
}

// NewPaths returns the paths of a daemon in the given zone, without measurements.
func NewPaths(zone string) *Paths { return &Paths{zone: zone, byZone: map[string]*pathTime{}} }

// Record adds the path time of one attempt.
func (p *Paths) Record(now time.Time, zone string, took time.Duration) {
	t := p.byZone[zone]
	if t == nil {
		t = &pathTime{at: now}
		p.byZone[zone] = t
	}
	t.seconds, t.at = t.seconds+(took.Seconds()-t.seconds)*pathWeight, now
}

// at returns the path time to a zone in seconds, 0 if it is not known.
func (p *Paths) at(now time.Time, zone string) float64 {
	t := p.byZone[zone]
	if t == nil {
		return 0
	}
	return t.seconds / (1 + max(0, now.Sub(t.at).Seconds())/pathHalvingTime.Seconds())
}

// Excess returns by how much the path to a zone is slower than the one within this daemon's
// zone. A busy host delays attempts to all zones alike, which is no reason to avoid one.
func (p *Paths) Excess(now time.Time, zone string) time.Duration {
	return time.Duration(max(0, p.at(now, zone)-p.at(now, p.zone)) * float64(time.Second))
}

// TooSlow returns the zones whose path takes more than a quarter of a latency objective.
// It returns none for objective 0, which means that the route has none.
func (p *Paths) TooSlow(now time.Time, objective time.Duration) []string {
	if objective <= 0 {
		return nil
	}
	var slow []string
	for zone := range p.byZone {
		if zone != p.zone && p.Excess(now, zone).Seconds() > objectiveShare*objective.Seconds() {
			slow = append(slow, zone)
		}
	}
	return slow
}
