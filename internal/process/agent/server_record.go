package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/logging"
)

// What a backend server has announced has to outlast the process that acknowledged it:
// heartbeats may arrive seconds late, and a daemon that starts again could not tell one of
// a start that has left from one of the present start. The newest start that the daemon
// knows of, and whether it is leaving, is therefore kept in the store. A message that
// announces a departure is acknowledged once the store has it.

const (
	// serverRecordTimeout bounds the wait for the store before a departure is acknowledged.
	// Backend servers wait a second for the acknowledgement.
	serverRecordTimeout = 850 * time.Millisecond
	// serverRecordRetry is the pause after a failed call to the store.
	serverRecordRetry = 200 * time.Millisecond
	// maxServerRecordLines bounds the log lines per second about failed calls.
	maxServerRecordLines = 2
)

// ErrNotRecorded means that the store has not acknowledged the departure of a backend server
// in time, so that a restart of the daemon could forget it.
var ErrNotRecorded = errors.New("the store has not recorded the departure yet; send it again")

// serverRecorder keeps the store's record of the host's backend server up to date.
type serverRecorder struct {
	store  Store
	member string
	server *serverState
	// era returns the greatest era of the store that is known, and noteEra notes one.
	era     func() uint64
	noteEra func(uint64)
	// due has an element if run has to be woken.
	due chan struct{}
	// failures bounds the log lines about failed calls.
	failures *logging.Limiter
	// epoch is that of the writes of attempted, the last record of which a write was tried.
	// Only run uses them.
	epoch     uint64
	attempted ServerRecord

	mu      sync.Mutex
	stored  ServerRecord  // as the store is known to have it
	loaded  bool          // stored has been read
	changed chan struct{} // closed and replaced when one of the two changes
}

func newServerRecorder(store Store, member string, server *serverState, era func() uint64, noteEra func(uint64)) *serverRecorder {
	return &serverRecorder{
		store: store, member: member, server: server, era: era, noteEra: noteEra, due: make(chan struct{}, 1),
		failures: logging.NewLimiter(maxServerRecordLines), epoch: uint64(time.Now().UnixMilli()), changed: make(chan struct{}),
	}
}

// wake makes run compare the record with the state of the server.
func (r *serverRecorder) wake() {
	select {
	case r.due <- struct{}{}:
	default: // it is awake or will be
	}
}

// upToDate reports whether the store has all that has to outlast this process. changed is
// closed when the answer may have changed.
func (r *serverRecorder) upToDate() (ok bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	present, settled := r.present()
	return r.loaded && (!settled || r.stored == present || present.Server == ""), r.changed
}

// present returns the record as it should be in the store. settled is false if nothing can be
// recorded yet.
func (r *serverRecorder) present() (record ServerRecord, settled bool) {
	record, settled = r.server.record()
	record.Era = r.era()
	return record, settled
}

// set notes what the store holds.
func (r *serverRecorder) set(record ServerRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored, r.loaded = record, true
	close(r.changed)
	r.changed = make(chan struct{})
}

// await waits until the store has all that has to outlast this process.
func (r *serverRecorder) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, serverRecordTimeout)
	defer cancel()
	for {
		ok, changed := r.upToDate()
		if ok {
			return nil
		}
		r.wake()
		select {
		case <-changed:
		case <-ctx.Done():
			return ErrNotRecorded
		}
	}
}

// run reads the record of the former process and then writes each change, until ctx is
// cancelled. It also writes the record again after a restore of the store, which may have
// lost it.
func (r *serverRecorder) run(ctx context.Context) {
	for ctx.Err() == nil && !r.load(ctx) {
		pause(ctx, serverRecordRetry)
	}
	ticker := time.NewTicker(directoryCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if ok, _ := r.upToDate(); !ok && !r.write(ctx) {
			pause(ctx, serverRecordRetry)
			continue
		}
		select {
		case <-ctx.Done():
		case <-r.due:
		case <-ticker.C:
		}
	}
}

// load reads the record and applies it to the state of the server.
func (r *serverRecorder) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, era, err := r.store.ReadServer(ctx, r.member)
	if err == nil {
		r.noteEra(era)
		if era < r.era() {
			err = errOutdatedEra
		}
	}
	if err != nil {
		r.logFailure("record-not-read", err)
		return false
	}
	r.server.applyRecord(time.Now(), record, max(era, r.era()))
	r.set(record)
	logging.InfoEvent("server", "record-read", "server", record.Server, "started", record.Started, "leaving", record.Leaving, "era", era, "era_written", record.Era)
	return true
}

// write writes the present record. A write whose outcome is unknown is repeated with the
// same epoch, which the store executes at most once. Another record has a greater epoch,
// which fences off the writes before.
func (r *serverRecorder) write(ctx context.Context) bool {
	record, _ := r.present()
	if record != r.attempted {
		r.epoch++
		r.attempted = record
	}
	for fenced := 0; ctx.Err() == nil; fenced++ {
		err := r.writeOnce(ctx, record)
		if err == nil {
			r.set(record)
			logging.InfoEvent("server", "recorded", "server", record.Server, "started", record.Started, "leaving", record.Leaving)
			return true
		}
		r.logFailure("not-recorded", err, "server", record.Server, "leaving", record.Leaving)
		if !errors.Is(err, ErrFenced) {
			return false
		}
		r.epoch += epochStep(fenced)
	}
	return false
}

func (r *serverRecorder) writeOnce(ctx context.Context, record ServerRecord) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	era, err := r.store.WriteServer(ctx, r.member, record, r.epoch)
	if err == nil {
		r.noteEra(era) // after a restore meanwhile, the record is written again
	}
	return err
}

func (r *serverRecorder) logFailure(event string, err error, details ...any) {
	if ok, dropped := r.failures.Allow(time.Now()); ok {
		logging.WarningEvent("server", event, append(details, "error", err, "lines_dropped", dropped)...)
	}
}

// pending returns 1 while the store lacks a part of the record, as a gauge.
func (r *serverRecorder) pending() float64 {
	if ok, _ := r.upToDate(); !ok {
		return 1
	}
	return 0
}
