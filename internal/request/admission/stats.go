package admission

import (
	"slices"
	"strings"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

// Stats is a view of a Controller for metrics and the status command.
type Stats struct {
	Slots       int
	Limit       int
	InFlight    int
	Queued      int
	ServiceTime time.Duration // smoothed; 0 if none was measured
	Draining    bool
	Workspaces  []WorkspaceStats // by name; idle ones may be missing
}

// WorkspaceStats is the part of one workspace.
type WorkspaceStats struct {
	Name      string
	InFlight  int
	Queued    int
	Threshold wire.Threshold
	// Received is the server time that the fair queue counts; only
	// differences between workspaces have a meaning.
	Received time.Duration
}

// Stats returns the current state. It allocates.
func (c *Controller) Stats(now time.Time) Stats {
	c.tick(now)
	s := Stats{
		Slots:       c.limiter.slots,
		Limit:       c.Limit(now),
		InFlight:    c.limiter.inFlight,
		Queued:      c.queue.n,
		ServiceTime: c.cost,
		Draining:    c.draining,
		Workspaces:  make([]WorkspaceStats, 0, len(c.workspaces)),
	}
	for name, w := range c.workspaces {
		s.Workspaces = append(s.Workspaces, WorkspaceStats{
			Name:      name,
			InFlight:  w.running,
			Queued:    w.queued,
			Threshold: toThreshold(w.level.effective()),
			Received:  w.received,
		})
	}
	slices.SortFunc(s.Workspaces, func(a, b WorkspaceStats) int { return strings.Compare(a.Name, b.Name) })
	return s
}
