package routing

import "time"

// UpstreamStats is a view of one upstream for metrics and the status command.
type UpstreamStats struct {
	ID       string
	Zone     string
	InFlight int
	Smoothed time.Duration // smoothed time of an attempt; 0 if not measured
	Share    float64       // fraction of the full load while warming up, else 1
	Drained  bool          // it refused an attempt because it is draining
	Ejected  bool          // not chosen for a time, because of consecutive failures
}

// Stats returns the upstreams in use, own zone first. Unlike Pick, it allocates.
func (t *Table) Stats(now time.Time) []UpstreamStats {
	stats := make([]UpstreamStats, len(t.upstreams))
	for i, u := range t.upstreams {
		stats[i] = UpstreamStats{
			ID:       u.ID,
			Zone:     u.Zone,
			InFlight: u.inFlight,
			Smoothed: u.smoothedTime,
			Share:    t.share(now, u),
			Drained:  u.draining,
			Ejected:  now.Before(u.ejectedUntil),
		}
	}
	return stats
}
