package ratelimit

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/version/freshness"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// SuspendTime is how long a daemon suspends a workspace after it has applied an
// edit that changes the workspace's division. A daemon that has not applied the
// edit admits keyed requests for freshness.MaxAge at most; the additional second
// allows for the caching of the freshness decision (50 ms) and for the difference
// of clock rates (5%).
const SuspendTime = freshness.MaxAge + time.Second

// Limits holds the limits of workspaces that a daemon applies as keeper and as holder.
// After an edit that changes the division of a workspace, it suspends the workspace,
// which then has no tokens: the former and the new slices may belong to different
// keepers, which do not know of each other's grants. When the suspension ends and
// the new slices, which start empty, begin to fill, no token of the former slices
// can be spent any more.
type Limits struct {
	rows      []tables.Workspace
	divisions map[string]lastDivision
}

// lastDivision is the last division of a workspace with a count above 0.
type lastDivision struct {
	count          uint8
	suspendedUntil time.Time // suspended until then, or zero
	noSlicesSince  time.Time // since when it has had no slices (not listed, or rate or burst 0), or zero
}

// NewLimits returns limits without workspaces.
func NewLimits() *Limits {
	return &Limits{divisions: map[string]lastDivision{}}
}

// Set applies the workspaces of a new version of the tables.
func (l *Limits) Set(now time.Time, workspaces []tables.Workspace) {
	l.rows = workspaces
	counts := make(map[string]uint8, len(workspaces))
	for _, row := range workspaces {
		if count := Divide(row).Count; count > 0 {
			counts[row.Name] = count
		}
	}
	for name, last := range l.divisions {
		if counts[name] > 0 {
			continue
		}
		if last.noSlicesSince.IsZero() {
			last.noSlicesSince = now
			l.divisions[name] = last
		}
		if now.Sub(last.noSlicesSince) >= SuspendTime {
			delete(l.divisions, name)
		}
	}
	for name, count := range counts {
		next := lastDivision{count: count}
		if last, ok := l.divisions[name]; ok {
			next.suspendedUntil = last.suspendedUntil
			if last.count != count {
				next.suspendedUntil = now.Add(SuspendTime)
			}
		}
		l.divisions[name] = next
	}
}

// Suspended returns the remaining time of a workspace's suspension, 0 if there is
// none.
func (l *Limits) Suspended(now time.Time, workspace string) time.Duration {
	return max(l.divisions[workspace].suspendedUntil.Sub(now), 0)
}

// InForce returns the workspaces with the limits to apply now, and the time at which
// the next suspension ends, or zero. A suspended workspace has rate and burst 0.
func (l *Limits) InForce(now time.Time) (workspaces []tables.Workspace, next time.Time) {
	workspaces = make([]tables.Workspace, len(l.rows))
	for i, row := range l.rows {
		if suspendedUntil := l.divisions[row.Name].suspendedUntil; now.Before(suspendedUntil) {
			row = tables.Workspace{Name: row.Name}
			if next.IsZero() || suspendedUntil.Before(next) {
				next = suspendedUntil
			}
		}
		workspaces[i] = row
	}
	return workspaces, next
}
