package agent

import (
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/version/storeview"
)

// evacuationCheckInterval is by how much the end of the time for which an evacuation is
// kept after a restore may be noticed late.
const evacuationCheckInterval = 250 * time.Millisecond

// noteEra records the era of a response of the store, or one that a peer knows. If it is
// new, the last confirmation is taken back, since the read behind it may have spanned the
// restore.
func (t *tablesFollower) noteEra(era uint64) {
	if era <= t.era.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	former := t.era.Load()
	if era <= former {
		return
	}
	t.era.Store(era)
	t.eraKnownAt = t.clock.now()
	t.confirmed.Store(int64(t.proof.Revoke()))
	logging.WarningEvent("tables", "store-restored", "era", era, "former", former, "version", uint64(t.version()))
}

// eraKnown returns when the present era became known.
func (t *tablesFollower) eraKnown() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.eraKnownAt
}

// evacuationsCover reports whether the evacuations before a position are known.
func (t *tablesFollower) evacuationsCover(p storeview.Position) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evacuations.Covers(p)
}

// applyEvacuations applies a read of the store up to a position and reports whether the
// evacuated zones have changed.
func (t *tablesFollower) applyEvacuations(now time.Duration, byPosition bool, p storeview.Position, changes []storeview.Change) bool {
	return t.updateEvacuations(now, func(e *storeview.Evacuations) {
		if byPosition {
			e.Records(p, changes)
		} else {
			e.Newest(now, p, changes)
		}
	})
}

// mergeEvacuations applies a peer's copy, nil for none.
func (t *tablesFollower) mergeEvacuations(now time.Duration, m *wire.Evacuations) {
	if m != nil {
		t.noteEra(m.Era)
		t.updateEvacuations(now, func(e *storeview.Evacuations) { e.Merge(now, m) })
	}
}

// updateEvacuations applies an update, and publishes the evacuated zones if they have
// changed.
func (t *tablesFollower) updateEvacuations(now time.Duration, update func(*storeview.Evacuations)) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	update(&t.evacuations)
	zones, former := t.evacuations.Active(now), t.evacuatedZones()
	if slices.Equal(zones, former) {
		return false
	}
	t.evacuated.Store(&zones)
	p := t.evacuations.Position()
	logging.InfoEvent("tables", "evacuated-zones", "zones", zones, "former", former, "era", p.Era, "offset", p.Offset)
	select {
	case t.evacuationsChanged <- struct{}{}:
	default: // already noted
	}
	return true
}

// evacuatedZones returns the evacuated zones.
func (t *tablesFollower) evacuatedZones() []string {
	if zones := t.evacuated.Load(); zones != nil {
		return *zones
	}
	return nil
}

// evacuationsCopy returns the state of the evacuations for peers, nil if none is known.
func (t *tablesFollower) evacuationsCopy() *wire.Evacuations {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evacuations.Copy(t.clock.now())
}

// evacuationsReport returns what a status tells of the evacuations: nothing while this
// daemon has seen neither an evacuation nor a restore.
func (t *tablesFollower) evacuationsReport() *wire.Evacuations {
	if t.era.Load() == 0 && t.evacuated.Load() == nil {
		return nil
	}
	return t.evacuationsCopy()
}

// applyEvacuatedZones puts changes of the evacuated zones into effect until the agent
// stops.
func (a *Agent) applyEvacuatedZones() {
	ticker := time.NewTicker(evacuationCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
			a.tables.checkEvacuations()
		case <-a.tables.evacuationsChanged:
			zones := a.tables.evacuatedZones()
			a.fleet.setEvacuated(time.Now(), zones)
			a.executor.setEvacuated(slices.Contains(zones, a.cfg.Zone))
		}
	}
}

// checkEvacuations ends the evacuations that were kept for long enough, and notes whether
// the process was paused.
func (t *tablesFollower) checkEvacuations() {
	now := t.clock.now()
	t.updateEvacuations(now, func(*storeview.Evacuations) {})
	if former := t.checkedAt.Load(); former > 0 && now-time.Duration(former) > storeview.MaxPause {
		t.resumedAt.Store(int64(now))
		logging.WarningEvent("tables", "resumed", "paused_ms", (now - time.Duration(former)).Milliseconds())
	}
	t.checkedAt.Store(int64(now))
}

// zoneRefusal returns the refusal of attempts in a zone that is evacuated, or may be as far
// as this daemon knows, or nil.
func (t *tablesFollower) zoneRefusal(zone string) *problem.Problem {
	switch {
	case slices.Contains(t.evacuatedZones(), zone):
		return evacuatedRefusal()
	case storeview.Unsure(t.clock.now(), time.Duration(t.checkedAt.Load()), time.Duration(t.resumedAt.Load()), time.Duration(t.confirmed.Load())):
		return problem.New(problem.KindTablesStale, "the daemon was paused and does not know yet whether its zone is evacuated").WithRetryAfter(briefRetryAfter)
	}
	return nil
}

// evacuatedRefusal returns the refusal of an attempt because of an evacuation.
func evacuatedRefusal() *problem.Problem {
	return problem.New(problem.KindEvacuated, "the availability zone of the host is evacuated").WithRetryAfter(briefRetryAfter)
}

// setEvacuated excludes the members of the evacuated zones from attempts.
func (f *fleet) setEvacuated(now time.Time, zones []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated = zones
	for _, m := range f.members {
		m.evacuated = slices.Contains(zones, m.status.Zone)
	}
	f.refreshUsable(now)
}

// setEvacuated refuses the attempts that have not started, and all new ones, while the own
// zone is evacuated.
func (e *executor) setEvacuated(evacuated bool) {
	e.mu.Lock()
	former, waiting := e.evacuated, e.queue.Waiting()
	e.mu.Unlock()
	if evacuated == former {
		return
	}
	logging.InfoEvent("executor", "zone-evacuated", "evacuated", evacuated, "refused", waiting)
	if !evacuated {
		e.onEvacuationEnd() // before an attempt is accepted
	}
	e.mu.Lock()
	e.evacuated = evacuated
	e.mu.Unlock()
	if evacuated {
		e.withdrawQueued(time.Time{}, evacuatedRefusal())
	}
}

// refusalInZone returns the refusal of attempts because of an evacuation of the own zone, or
// nil. The caller holds mu.
func (e *executor) refusalInZone() *problem.Problem {
	if e.evacuated {
		return evacuatedRefusal()
	}
	return e.zoneRefusal()
}
