package storeview

import (
	"maps"
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

// settled is the deadline of a zone whose record the store has listed or ended in this
// era, or whose time to be kept is over: its absence from the records counts.
const settled = time.Duration(0)

// Change is a record of an evacuation.
type Change struct {
	Zone  string
	Ended bool // the record has no value
}

// Evacuations is what a daemon knows of the evacuated zones. A zone is evacuated if the
// store lists it. After a restore, one that was evacuated and is missing from the newest
// records is kept for RewriteTime, once in each era.
type Evacuations struct {
	known    bool
	position Position // up to which the records are known
	zones    map[string]bool
	// kept holds deadlines by zone, in eras above 0. Those that have passed stay, so that a
	// peer's later report does not begin the time again.
	kept map[string]time.Duration
}

// Covers reports whether the records before a position are known.
func (e *Evacuations) Covers(p Position) bool { return e.known && !e.position.Before(p) }

// Position returns the position up to which the records are known.
func (e *Evacuations) Position() Position { return e.position }

// Active returns the zones that are evacuated at a time, in order.
func (e *Evacuations) Active(now time.Duration) []string {
	active := maps.Clone(e.zones)
	for zone, until := range e.kept {
		if now < until {
			if active == nil {
				active = map[string]bool{}
			}
			active[zone] = true
		}
	}
	return slices.Sorted(maps.Keys(active))
}

// Newest applies a read of the newest records, whose changes list the evacuations. A read
// of an earlier position than the known one changes nothing.
func (e *Evacuations) Newest(now time.Duration, position Position, changes []Change) {
	if e.known && position.Before(e.position) {
		return
	}
	listed := map[string]bool{}
	for _, c := range changes {
		if !c.Ended {
			listed[c.Zone] = true
		}
	}
	e.replace(now, position, listed)
	for _, c := range changes {
		e.settle(c.Zone)
	}
}

// Records applies the changes that were read in order up to a position of the same era.
// They may begin before the known position; the last record of each zone counts.
func (e *Evacuations) Records(position Position, changes []Change) {
	if !e.known || position.Era != e.position.Era || !e.position.Before(position) {
		return
	}
	e.position = position
	for _, c := range changes {
		if c.Ended {
			delete(e.zones, c.Zone)
		} else {
			e.zones[c.Zone] = true
		}
		e.settle(c.Zone)
	}
}

// Merge applies a peer's copy. A copy of a later position replaces this one; of a copy of
// the same era, the zones that are kept count whatever its position.
func (e *Evacuations) Merge(now time.Duration, m *wire.Evacuations) {
	position := Position{m.Era, m.Offset}
	if !e.known || e.position.Before(position) {
		listed := map[string]bool{}
		for _, zone := range m.Zones {
			listed[zone] = true
		}
		e.replace(now, position, listed)
	}
	if position.Era != e.position.Era || position.Era == 0 {
		return
	}
	for _, k := range m.Kept {
		until := settled
		if k.Left > 0 {
			until = now + min(k.Left, RewriteTime)
		}
		if former, ok := e.kept[k.Zone]; ok {
			until = min(until, former) // otherwise reports back and forth would extend it
		}
		e.kept[k.Zone] = until
	}
}

// replace sets the listed zones as of a later position. If that is of a later era, zones
// that were evacuated and are not listed are kept.
func (e *Evacuations) replace(now time.Duration, position Position, listed map[string]bool) {
	if !e.known || position.Era > e.position.Era {
		active := e.Active(now)
		e.kept = map[string]time.Duration{}
		for _, zone := range active {
			e.kept[zone] = now + RewriteTime
		}
	}
	e.known, e.position, e.zones = true, position, listed
	for zone := range listed {
		e.settle(zone)
	}
}

// settle records that the store has told about a zone in this era.
func (e *Evacuations) settle(zone string) {
	if e.position.Era > 0 {
		e.kept[zone] = settled
	}
}

// Copy returns the state for peers, nil if none is known.
func (e *Evacuations) Copy(now time.Duration) *wire.Evacuations {
	if !e.known {
		return nil
	}
	m := &wire.Evacuations{Era: e.position.Era, Offset: e.position.Offset, Zones: slices.Sorted(maps.Keys(e.zones))}
	for _, zone := range slices.Sorted(maps.Keys(e.kept)) {
		m.Kept = append(m.Kept, wire.KeptZone{Zone: zone, Left: max(0, e.kept[zone]-now)})
	}
	return m
}
