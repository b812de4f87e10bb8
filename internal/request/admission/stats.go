package admission

import (
	"slices"
	"strings"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

// Stats is a snapshot of a Controller.
type Stats struct {
	Slots       int
	Limit       int
	InFlight    int
	Queued      int
	ServiceTime time.Duration // moving average; 0 before the first measurement
	Draining    bool
	Workspaces  []WorkspaceStats // sorted by name; idle ones may be missing
}

// WorkspaceStats is the part of a snapshot that concerns one workspace.
type WorkspaceStats struct {
	Name      string
	InFlight  int
	Queued    int
	Threshold wire.Threshold
	// Received is the decayed server time by which the fair queue orders
	// workspaces. Only the difference between two workspaces is meaningful.
	Received time.Duration
}

// Stats returns a snapshot of the current state. It allocates.
func (c *Controller) Stats(now time.Time) Stats {
	c.tick(now)
	s := Stats{
		Slots:       c.limiter.slots,
		Limit:       c.Limit(now),
		InFlight:    c.limiter.inFlight,
		Queued:      c.queue.n,
		ServiceTime: c.serviceTime,
		Draining:    c.draining,
		Workspaces:  make([]WorkspaceStats, 0, len(c.workspaces)),
	}
	for name, w := range c.workspaces {
		s.Workspaces = append(s.Workspaces, WorkspaceStats{
			Name:      name,
			InFlight:  w.running,
			Queued:    w.queued,
			Threshold: toThreshold(w.threshold.effectiveLevel()),
			Received:  w.received,
		})
	}
	slices.SortFunc(s.Workspaces, func(a, b WorkspaceStats) int { return strings.Compare(a.Name, b.Name) })
	return s
}
