package ratelimit

import (
	"time"

	"tarragonshore.example/tarragonshore/internal/version/freshness"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// SuspendTime is how long a workspace has no tokens at a daemon that applied an
// edit by which the workspace's division changed. A daemon that has not applied
// the edit admits keyed requests for freshness.MaxAge at most; the rest allows
// for the reuse of the freshness decision (50 ms) and for clock rates (5%).
const SuspendTime = freshness.MaxAge + time.Second

// Limits holds the limits that a daemon applies as keeper and as holder. It
// suspends a workspace after an edit that changes its division: its former and
// its new slices belong to different keepers, which do not know of each other.
// The tokens of the former slices cannot be spent any more when the new ones,
// which start empty, begin to fill.
type Limits struct {
	rows []tables.Workspace
	seen map[string]seenDivision
}

// seenDivision is the last division of a workspace that had slices.
type seenDivision struct {
	count    uint8
	until    time.Time // suspended until then, or zero
	unlisted time.Time // since when the workspace has no slices, or zero
}

// NewLimits returns limits without workspaces.
func NewLimits() *Limits {
	return &Limits{seen: map[string]seenDivision{}}
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
	for name, last := range l.seen {
		if counts[name] > 0 {
			continue
		}
		if last.unlisted.IsZero() {
			last.unlisted = now
			l.seen[name] = last
		}
		if now.Sub(last.unlisted) >= SuspendTime {
			delete(l.seen, name)
		}
	}
	for name, count := range counts {
		next := seenDivision{count: count}
		if last, ok := l.seen[name]; ok {
			next.until = last.until
			if last.count != count {
				next.until = now.Add(SuspendTime)
			}
		}
		l.seen[name] = next
	}
}

// Suspended returns how long a workspace is still suspended, 0 if it is not.
func (l *Limits) Suspended(now time.Time, workspace string) time.Duration {
	return max(l.seen[workspace].until.Sub(now), 0)
}

// InForce returns the workspaces with the limits to apply now, and the time of
// the next change without an edit, or zero. A suspended workspace has no rate.
func (l *Limits) InForce(now time.Time) (workspaces []tables.Workspace, next time.Time) {
	workspaces = make([]tables.Workspace, len(l.rows))
	for i, row := range l.rows {
		if until := l.seen[row.Name].until; now.Before(until) {
			row = tables.Workspace{Name: row.Name}
			if next.IsZero() || until.Before(next) {
				next = until
			}
		}
		workspaces[i] = row
	}
	return workspaces, next
}
