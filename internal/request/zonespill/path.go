package zonespill

import "time"

const (
	// A sample has the weight pathWeight in the smoothed path time. If the last one is older
	// than that fraction of sparseTime, its weight is its age in relation to sparseTime, at
	// most maxWeight, so that the few attempts to an avoided zone show its recovery.
	pathWeight = 1.0 / 8
	maxWeight  = 0.5
	sparseTime = 2 * time.Second
	// probeAfter is the time without an attempt after which a zone that is avoided is tried
	// again. A shorter one shows a recovery earlier and sends more attempts over a slow path.
	probeAfter = time.Second
	// objectiveShare is the fraction of a route's latency objective above which the path
	// to a zone is too slow for the route.
	objectiveShare = 0.25
)

// pathTime is the smoothed path time to a zone.
type pathTime struct {
	seconds float64
	at      time.Time // of the last sample
	sentAt  time.Time // when an attempt was last sent
}

// Paths measures the time that attempts to each zone take beyond queueing and service.
type Paths struct {
	zone   string
	byZone map[string]*pathTime
}

// NewPaths returns the paths of a daemon in the given zone, without measurements.
func NewPaths(zone string) *Paths { return &Paths{zone: zone, byZone: map[string]*pathTime{}} }

// RecordStart records that an attempt is sent to a zone.
func (p *Paths) RecordStart(now time.Time, zone string) {
	if t := p.byZone[zone]; t != nil {
		t.sentAt = now
	}
}

// Record adds the path time of one attempt.
func (p *Paths) Record(now time.Time, zone string, took time.Duration) {
	t := p.byZone[zone]
	if t == nil {
		t = &pathTime{at: now}
		p.byZone[zone] = t
	}
	weight := max(pathWeight, min(maxWeight, now.Sub(t.at).Seconds()/sparseTime.Seconds()))
	t.seconds, t.at = t.seconds+(took.Seconds()-t.seconds)*weight, now
}

// seconds returns the path time to a zone, 0 if it is not known.
func (p *Paths) seconds(zone string) float64 {
	if t := p.byZone[zone]; t != nil {
		return t.seconds
	}
	return 0
}

// Excess returns by how much the path to a zone is slower than the one within this daemon's
// zone. A busy host delays attempts to all zones alike, which is no reason to avoid one.
func (p *Paths) Excess(zone string) time.Duration {
	return time.Duration(max(0, p.seconds(zone)-p.seconds(p.zone)) * float64(time.Second))
}

// TooSlow returns the zones whose path takes more than a quarter of a latency objective,
// without those to which none was sent for probeAfter: one attempt tries them again.
// It returns none for objective 0, which means that the route has none.
func (p *Paths) TooSlow(now time.Time, objective time.Duration) []string {
	if objective <= 0 {
		return nil
	}
	var slow []string
	for zone, t := range p.byZone {
		if zone != p.zone && now.Sub(t.sentAt) < probeAfter && p.Excess(zone).Seconds() > objectiveShare*objective.Seconds() {
			slow = append(slow, zone)
		}
	}
	return slow
}
