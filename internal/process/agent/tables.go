package agent

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/version/catalog"
)

const (
	// pollWait is the time that a long poll waits for a publication. Withdrawn keys
	// must be refused within the platform's bound, so each daemon needs to confirm
	// every few seconds that nothing was published. A longer wait makes fewer calls,
	// but a silent connection is noticed only after pollWait and storeTimeout, which
	// together must stay within the 3 s that the platform allows for reconnecting.
	pollWait = 2 * time.Second
	// storeTimeout bounds a call to the store, in addition to the wait of a long poll.
	storeTimeout = 700 * time.Millisecond
	// storeRetryDelay is the delay after a failed call to the store. Each further
	// failure in a row adds storeRetryDelay, up to maxStoreRetryDelay, since calls that
	// the store rejects cost it as much as others.
	storeRetryDelay    = 150 * time.Millisecond
	maxStoreRetryDelay = 600 * time.Millisecond
	// finalRefusalAge is the greatest age of the tables at which an unknown key or route
	// is refused for good. With older tables the refusal may be retried, since a newer
	// version may contain the key or route.
	finalRefusalAge = 2500 * time.Millisecond
	// readyAge is the greatest age of the tables at which the daemon reports ready.
	readyAge = 3500 * time.Millisecond
	// pollWaitShare is the fraction of pollWait that an empty poll is sure to have taken,
	// since the store's clock may run faster than the host's.
	pollWaitShare = 0.9
	// transitMargin is the part of the bound for withdrawn keys that is reserved for a
	// request's transit from its caller to the check.
	transitMargin = 500 * time.Millisecond
)

// tablesFollower follows the operators' publications. It holds the version in force and
// the time at which the store last confirmed that there is no newer one.
type tablesFollower struct {
	store     Store
	maxKeyAge time.Duration // greatest age of the tables at which keys are accepted
	current   atomic.Pointer[catalog.Catalog]
	// confirmed is the boot-clock time up to which the last successful read proved that
	// nothing newer was published; 0 before the first.
	confirmed atomic.Int64
	onChange  func(*catalog.Catalog)
	clock     bootClock
}

func newTablesFollower(store Store, revokeBound time.Duration) *tablesFollower {
	return &tablesFollower{store: store, maxKeyAge: revokeBound - transitMargin, onChange: func(*catalog.Catalog) {}}
}

// catalog returns the tables in force, nil if none are known.
func (t *tablesFollower) catalog() *catalog.Catalog { return t.current.Load() }

// version returns the version of the tables in force, 0 if none are known.
func (t *tablesFollower) version() catalog.Version {
	if c := t.catalog(); c != nil {
		return c.Version()
	}
	return 0
}

// age returns the time since the store last confirmed the tables, the greatest duration
// if it never did.
func (t *tablesFollower) age() time.Duration {
	confirmed := t.confirmed.Load()
	if confirmed == 0 {
		return time.Duration(1<<63 - 1)
	}
	return t.clock.now() - time.Duration(confirmed)
}

// follow reads publications and puts them in force until ctx is cancelled.
func (t *tablesFollower) follow(ctx context.Context) {
	var next Offset
	known := false
	disconnected, failures := false, 0
	for ctx.Err() == nil {
		begun := t.clock.now()
		publication, err := t.read(ctx, known, next, disconnected)
		if errors.Is(err, ErrHistoryLost) {
			logging.InfoEvent("tables", "history-lost", "offset", uint64(next))
			known = false
			continue
		}
		if err != nil {
			if !disconnected && ctx.Err() == nil {
				disconnected = true
				logging.WarningEvent("tables", "store-lost", "error", err, "version", uint64(t.version()))
			}
			failures++
			pause(ctx, min(time.Duration(failures)*storeRetryDelay, maxStoreRetryDelay))
			continue
		}
		if disconnected {
			disconnected, failures = false, 0
			logging.InfoEvent("tables", "store-regained", "version", uint64(t.version()), "age_ms", t.age().Milliseconds())
		}
		emptyPoll := known && publication.Content == nil && publication.Next == next
		next, known = publication.Next, true
		t.apply(publication.Content)
		t.confirmed.Store(int64(confirmationTime(begun, t.clock.now(), emptyPoll)))
	}
}

// confirmationTime returns the time up to which a read that began and ended at the
// given times proves that nothing newer was published. For an empty poll this is later
// than its start: the store returns an empty response only after the whole wait, which
// it measures by its own clock.
func confirmationTime(begun, ended time.Duration, emptyPoll bool) time.Duration {
	if !emptyPoll || ended-begun < pollWait {
		return begun
	}
	return begun + time.Duration(pollWaitShare*float64(pollWait))
}

// read makes one call to the store. After a failure the call does not wait for a
// publication, so that the end of an outage is noticed soon.
func (t *tablesFollower) read(ctx context.Context, known bool, next Offset, disconnected bool) (Publication, error) {
	wait := pollWait
	if disconnected {
		wait = 0
	}
	if !known {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return t.store.Newest(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	return t.store.Next(ctx, next, wait)
}

// apply puts newer content in force. If the content is invalid, the former version
// stays in force.
func (t *tablesFollower) apply(content *catalog.Content) {
	if content == nil || content.Version <= t.version() {
		return
	}
	next, err := catalog.New(*content)
	if err != nil {
		logging.ErrorEvent("tables", "version-rejected", err, "version", uint64(content.Version), "in_force", uint64(t.version()))
		return
	}
	logging.InfoEvent("tables", "version-in-force", "version", uint64(content.Version), "former", uint64(t.version()), "routes", len(content.Routes))
	t.current.Store(next)
	t.onChange(next)
}

// pause waits for a time or until ctx is cancelled.
func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
