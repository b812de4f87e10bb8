package routing

import "time"

// UpstreamStats is a snapshot of the state of one upstream.
type UpstreamStats struct {
	ID           string
	Zone         string
	InFlight     int
	SmoothedTime time.Duration // smoothed time of an attempt; 0 if not measured
	Share        float64       // fraction of the full load while warming up, else 1
	Draining     bool          // it refused an attempt because it is draining
	Ejected      bool          // not chosen for a time, because of consecutive failures
}

// Stats returns the upstreams in use, own zone first. Unlike Pick, it allocates.
func (t *Table) Stats(now time.Time) []UpstreamStats {
	stats := make([]UpstreamStats, len(t.upstreams))
	for i, u := range t.upstreams {
		stats[i] = UpstreamStats{
			ID:           u.ID,
			Zone:         u.Zone,
			InFlight:     u.inFlight,
			SmoothedTime: u.smoothedTime,
			Share:        t.share(now, u),
			Draining:     u.draining,
			Ejected:      now.Before(u.ejectedUntil),
		}
	}
	return stats
}
