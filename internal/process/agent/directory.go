package agent

import (
	"context"
	"errors"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/version/storeview"
)

const (
	// directoryInterval is the time between reads of the directory, by the daemons that
	// read the store for their zone. It can be long, since members that start later make
	// themselves known by sending a status.
	directoryInterval = time.Minute
	// directoryCheckInterval is the time between checks whether a call to the directory is
	// due, which a call that has failed is.
	directoryCheckInterval = 500 * time.Millisecond
	// recordCheckInterval is the time between reads that are due because of a restore of the
	// store. All daemons make them, also those that the store turns away for long.
	recordCheckInterval = 2 * time.Second
	// lateWriteTime is how long after a member's start the directory may still change by
	// writes of its former process, which the store executes late.
	lateWriteTime = 10 * time.Second
	// firstEpochStep is by how much, in milliseconds, the epoch of the directory writes is
	// raised after the store has seen a greater one. It doubles with each further failure,
	// at most maxEpochDoublings times.
	firstEpochStep    = uint64(1000)
	maxEpochDoublings = 30
)

// directorySync is the state of this daemon's record in the directory and of its reads.
// It is used by one goroutine.
type directorySync struct {
	record storeview.Record
	// checkAt is the time before which the record is not looked for again.
	checkAt time.Time
	// readAt is when the directory was last read; zero: not since the record was written.
	readAt time.Time
	// fencedWrites is the number of writes in a row that the store has fenced off.
	fencedWrites int
}

// readDue reports whether the directory has to be read. A daemon reads it after it has
// written its record, since of two daemons that start at the same time only the later one
// finds the other, and again lateWriteTime after the last start of a member and at
// intervals if it reads the store for its zone.
func (s *directorySync) readDue(now, lastStart time.Time, readsStore bool) bool {
	switch {
	case s.readAt.IsZero():
		return true
	case !readsStore:
		return false
	}
	settled := lastStart.Add(lateWriteTime)
	return now.Sub(s.readAt) >= directoryInterval || s.readAt.Before(settled) && !now.Before(settled)
}

// epochStep returns by how much the epoch is raised after another write was fenced off.
func (s *directorySync) epochStep() uint64 { return epochStep(s.fencedWrites) }

// epochStep returns by how much an epoch is raised after a write was fenced off, fenced
// writes in a row before it: the store has seen a greater epoch if the host's clock was
// stepped back between two starts.
func epochStep(fenced int) uint64 { return firstEpochStep << min(fenced, maxEpochDoublings) }

// syncDirectory keeps this daemon's record in the directory and reads the other members
// from it, until the agent stops.
func (a *Agent) syncDirectory() {
	var s directorySync
	for a.ctx.Err() == nil {
		if s.record.WriteDue() && !a.leaving.Load() && a.register(&s) {
			s.readAt = time.Time{}
		}
		readsStore := wire.TablesSource(a.tables.source.Load()) == wire.SourceStore
		now := time.Now()
		check := s.record.CheckDue(a.tables.era.Load()) && !now.Before(s.checkAt)
		if check {
			s.checkAt = now.Add(recordCheckInterval)
		}
		if (check || s.readDue(now, a.fleet.lastMemberStart(), readsStore)) && a.readDirectory(&s) {
			s.readAt = time.Now()
		}
		select {
		case <-a.ctx.Done():
		case <-time.After(directoryCheckInterval):
		case <-a.unlisted:
			s.readAt = time.Time{}
		}
	}
}

// register writes this daemon's record. A write whose outcome is unknown is repeated with
// the same epoch, which the store executes at most once.
func (a *Agent) register(s *directorySync) bool {
	ctx, cancel := a.storeContext()
	defer cancel()
	era, err := a.deps.Store.Register(ctx, DirectoryEntry{Member: a.cfg.Member, Peer: a.cfg.Listen.Peer.String(), Zone: a.cfg.Zone}, a.directoryEpoch.Load())
	if err == nil {
		a.tables.noteEra(era)
		s.record.Written(era)
		s.fencedWrites = 0
		return true
	}
	if errors.Is(err, ErrFenced) {
		a.directoryEpoch.Add(s.epochStep())
		s.fencedWrites++
	}
	logging.WarningEvent("directory", "not-announced", "member", a.cfg.Member, "error", err)
	return false
}

// readDirectory adds the listed members to the fleet. It tells live members that are not
// listed, and notes whether this daemon is.
func (a *Agent) readDirectory(s *directorySync) bool {
	ctx, cancel := a.storeContext()
	defer cancel()
	entries, era, err := a.deps.Store.Daemons(ctx)
	if err == nil {
		a.tables.noteEra(era)
		if era < a.tables.era.Load() {
			err = errOutdatedEra
		}
	}
	if err != nil {
		logging.WarningEvent("directory", "not-read", "error", err)
		return false
	}
	listed := make(map[string]string, len(entries)) // address by member
	for _, entry := range entries {
		listed[entry.Member] = entry.Peer
	}
	a.addListed(entries)
	a.fleet.markDirectoryRead()
	if !a.leaving.Load() && s.record.Read(era, a.tables.era.Load(), listed[a.cfg.Member] == a.cfg.Listen.Peer.String()) {
		logging.WarningEvent("directory", "record-missing", "member", a.cfg.Member, "era", era)
		a.directoryEpoch.Add(1)
	}
	for _, address := range a.fleet.liveUnlisted(time.Now(), listed) {
		a.send(address, wire.Unlisted{})
	}
	return true
}

// addListed adds members to the fleet and makes this daemon known to those that were not
// known, which it returns.
func (a *Agent) addListed(entries []DirectoryEntry) (added []DirectoryEntry) {
	now := time.Now()
	for _, entry := range entries {
		if a.fleet.addListed(now, entry) {
			added = append(added, entry)
		}
	}
	if len(added) > 0 {
		a.broadcast(0)
	}
	return added
}

// unregister removes this daemon from the directory. Its epoch fences off the writes of
// this process that are still pending, and it is itself fenced off once the next process
// of this member has written its record.
func (a *Agent) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := a.deps.Store.Unregister(ctx, a.cfg.Member, a.directoryEpoch.Add(1)); err != nil {
		logging.WarningEvent("directory", "not-withdrawn", "member", a.cfg.Member, "error", err)
	}
}

// liveUnlisted returns the addresses of live members that the directory lacks or lists
// with another address.
func (f *fleet) liveUnlisted(now time.Time, listed map[string]string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, m := range f.members {
		if !m.self && m.live(now) && listed[m.name] != m.address {
			list = append(list, m.address)
		}
	}
	return list
}

// lastMemberStart returns when a member was last seen to have started; zero: never.
func (f *fleet) lastMemberStart() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.memberStartedAt
}
