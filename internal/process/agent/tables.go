package agent

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/logging"
	"tarragonshore.example/tarragonshore/internal/process/metrics"
	"tarragonshore.example/tarragonshore/internal/version/catalog"
	"tarragonshore.example/tarragonshore/internal/version/confirmation"
	"tarragonshore.example/tarragonshore/internal/version/storeview"
)

const (
	// pollWait is the time that a long poll waits for a publication. Withdrawn keys
	// must be refused within the platform's bound, so each daemon needs a confirmation
	// every few seconds that nothing was published, from the store or from a peer that
	// reads it (package confirmation). A longer wait makes fewer calls,
	// but a silent connection is noticed only after pollWait and storeTimeout, which
	// together must stay within the 3 s that the platform allows for reconnecting.
	pollWait = 2 * time.Second
	// storeTimeout bounds a call to the store, in addition to the wait of a long poll.
	storeTimeout = 700 * time.Millisecond
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
	// neverConfirmed is the age of tables that the store never confirmed.
	neverConfirmed = time.Duration(math.MaxInt64)
)

// errOutdatedEra means that the store sent a response of before a restore that is known.
var errOutdatedEra = errors.New("the response of the store is of an era before its last restore; retry")

// tablesPeers gives access to the other daemons, which may have newer tables or a newer
// confirmation.
type tablesPeers interface {
	// tablesState returns the live members and the times since this daemon's start and
	// since its first read of the directory.
	tablesState() confirmation.State
	// askTables sends a question to a member and waits for the reply until ctx ends, the
	// link is lost or interrupt has an element.
	askTables(ctx context.Context, member string, question wire.TablesRequest, interrupt <-chan struct{}) (*wire.TablesReply, error)
}

// tablesInForce is a version of the tables with what other daemons need of it.
type tablesInForce struct {
	catalog  *catalog.Catalog
	snapshot []byte
	next     storeview.Position // at which to read later publications; offset 0: not known
}

// tablesFollower follows the operators' publications. It holds the version in force and
// the time at which the store last confirmed that there is no newer one, to this daemon
// or to a peer. It also answers the questions of peers (tables_questions.go) and holds the
// evacuated zones and the era of the store (evacuation.go).
type tablesFollower struct {
	store     Store
	peers     tablesPeers
	metrics   *metrics.Metrics
	maxKeyAge time.Duration // greatest age of the tables at which keys are accepted
	current   atomic.Pointer[tablesInForce]
	// confirmed is the boot-clock time up to which a read of the store is known to have
	// proved that nothing newer was published; 0 before the first.
	confirmed atomic.Int64
	source    atomic.Uint32 // a wire.TablesSource
	onChange  func(*catalog.Catalog)
	// announce tells the fleet that this daemon has read a new version, or has become a
	// reader.
	announce func()
	clock    bootClock
	// newer has an element if a peer has reported a newer version.
	newer chan struct{}

	// The fields below are used by follow only.
	chooser      *confirmation.Chooser
	position     storeview.Position
	known        bool // position is known
	disconnected bool // the last call to the store failed
	questions    uint64

	// evacuated holds the evacuated zones.
	evacuated atomic.Pointer[[]string]
	// evacuationsChanged has an element if evacuated has changed.
	evacuationsChanged chan struct{}
	// checkedAt is the time of the last periodic check of the evacuations, resumedAt that of
	// the last one before which the process was paused for storeview.MaxPause.
	checkedAt, resumedAt atomic.Int64
	era                  atomic.Uint64 // the greatest era of the store that is known

	mu          sync.Mutex
	parked      map[uint64]parkedQuestion // by link number
	proof       storeview.Proof
	evacuations storeview.Evacuations
	eraKnownAt  time.Duration // when era was last raised
}

func newTablesFollower(store Store, revokeBound time.Duration, member, zone string) *tablesFollower {
	return &tablesFollower{
		store: store, maxKeyAge: revokeBound - transitMargin, chooser: confirmation.NewChooser(member, zone),
		onChange: func(*catalog.Catalog) {}, announce: func() {}, newer: make(chan struct{}, 1),
		parked: make(map[uint64]parkedQuestion), evacuationsChanged: make(chan struct{}, 1),
	}
}

// catalog returns the tables in force, nil if none are known.
func (t *tablesFollower) catalog() *catalog.Catalog {
	if c := t.current.Load(); c != nil {
		return c.catalog
	}
	return nil
}

// version returns the version of the tables in force, 0 if none are known.
func (t *tablesFollower) version() catalog.Version {
	if c := t.catalog(); c != nil {
		return c.Version()
	}
	return 0
}

// age returns the time since the store last confirmed the tables, neverConfirmed if it
// never did. A caller that also needs the version reads the age first: the age
// then holds for that version or for an earlier one.
func (t *tablesFollower) age() time.Duration {
	confirmed := t.confirmed.Load()
	if confirmed == 0 {
		return neverConfirmed
	}
	return t.clock.now() - time.Duration(confirmed)
}

// ageMS returns an age of the tables for the log, -1 if they were never confirmed.
func ageMS(age time.Duration) int64 {
	if age == neverConfirmed {
		return -1
	}
	return age.Milliseconds()
}

// confirm records that the version in force was the newest one at a time. Times before
// the last one are ignored: that proof still holds. So is a proof of a former era of the
// store, whose read may have spanned the restore.
func (t *tablesFollower) confirm(at time.Duration, era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era < t.era.Load() {
		return
	}
	t.confirmed.Store(int64(t.proof.Confirm(at)))
}

// follow puts publications in force and has them confirmed until ctx is cancelled.
func (t *tablesFollower) follow(ctx context.Context) {
	for ctx.Err() == nil {
		state := t.peers.tablesState()
		state.Version, state.Age, state.Restored = uint64(t.version()), t.age(), t.era.Load() > 0
		step := t.chooser.Next(t.clock.now(), state)
		t.updateSource()
		switch step.Kind {
		case confirmation.Poll:
			t.readStore(ctx, pollWait)
		case confirmation.ReadStore:
			t.readStore(ctx, 0)
		case confirmation.Ask:
			t.askPeer(ctx, step)
		default:
			pause(ctx, step.Pause)
		}
	}
}

// updateSource publishes where the tables are confirmed, for the statuses.
func (t *tablesFollower) updateSource() {
	source := wire.SourcePeers
	switch {
	case t.chooser.Reads():
		source = wire.SourceStore
	case t.chooser.StoreLost():
		source = wire.SourceStoreLost
	}
	former := wire.TablesSource(t.source.Swap(uint32(source)))
	if former == source {
		return
	}
	logging.InfoEvent("tables", "source", "source", int(source), "former", int(former), "version", uint64(t.version()), "age_ms", ageMS(t.age()))
	if former == wire.SourceStore {
		t.answerParked() // the askers have to turn to another reader
	}
	if source == wire.SourceStore {
		t.announce()
	}
}

// readStore makes one call to the store, which waits up to wait for a publication, and
// applies its result.
func (t *tablesFollower) readStore(ctx context.Context, wait time.Duration) {
	begun := t.clock.now()
	t.known = t.known && t.evacuationsCover(t.position)
	byPosition := t.known
	publication, err := t.read(ctx, wait)
	if errors.Is(err, ErrHistoryLost) {
		logging.InfoEvent("tables", "history-lost", "offset", t.position.Offset, "era", t.position.Era)
		t.known = false
		return
	}
	if err == nil {
		switch t.judge(byPosition, publication.Era) {
		case storeview.Restored:
			t.known = false // the newest records are read next
			return
		case storeview.Outdated:
			t.known, err = false, errOutdatedEra
		}
	}
	now := t.clock.now()
	next := storeview.Position{Era: publication.Era, Offset: uint64(publication.Next)}
	t.chooser.StoreRead(now, err == nil, byPosition && next != t.position)
	t.metrics.RecordConfirmation("store", err == nil)
	if err != nil {
		if !t.disconnected && ctx.Err() == nil {
			t.disconnected = true
			logging.WarningEvent("tables", "store-lost", "error", err, "version", uint64(t.version()))
		}
		t.answerParked()
		return
	}
	if t.disconnected {
		t.disconnected = false
		logging.InfoEvent("tables", "store-regained", "version", uint64(t.version()), "age_ms", ageMS(t.age()))
	}
	emptyPoll := byPosition && next == t.position
	t.position, t.known = next, true
	changed := t.applyEvacuations(now, byPosition, next, publication.Evacuations)
	changed = t.applyPublication(publication) || changed
	if t.mayConfirm(now, next.Era) {
		t.confirm(confirmationTime(begun, now, emptyPoll, wait), next.Era)
	}
	t.answerParked()
	if changed {
		t.announce()
	}
}

// judge judges a successful response of the store, and notes its era.
func (t *tablesFollower) judge(byPosition bool, era uint64) storeview.Verdict {
	t.noteEra(era)
	if byPosition {
		return storeview.JudgeRead(t.position, t.era.Load(), era)
	}
	return storeview.JudgeNewest(t.era.Load(), era)
}

// mayConfirm reports whether a read that has been applied confirms the version in force.
func (t *tablesFollower) mayConfirm(now time.Duration, era uint64) bool {
	state := t.peers.tablesState()
	read := storeview.Read{Era: era, SinceEra: now - t.eraKnown(), Started: state.Started, Members: len(state.Members), InForce: uint64(t.version())}
	for _, m := range state.Members {
		read.NewestOfMembers = max(read.NewestOfMembers, m.Version)
	}
	return read.MayConfirm()
}

// confirmationTime returns the time up to which a read that began and ended at the
// given times proves that nothing newer was published. For an empty poll this is later
// than its start: the store returns an empty response only after the whole wait, which
// it measures by its own clock.
func confirmationTime(begun, ended time.Duration, emptyPoll bool, wait time.Duration) time.Duration {
	if !emptyPoll || ended-begun < wait {
		return begun
	}
	return begun + time.Duration(pollWaitShare*float64(wait))
}

// read makes one call to the store.
func (t *tablesFollower) read(ctx context.Context, wait time.Duration) (Publication, error) {
	if !t.known {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return t.store.Newest(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	return t.store.Next(ctx, Offset(t.position.Offset), wait)
}

// applyPublication puts newer content of the store in force and reports whether it did.
func (t *tablesFollower) applyPublication(p Publication) bool {
	if p.Content == nil || p.Content.Version <= t.version() {
		return false
	}
	snapshot, err := p.Content.Snapshot()
	if err != nil {
		logging.ErrorEvent("tables", "snapshot-not-encoded", err, "version", uint64(p.Content.Version))
	}
	return t.apply(p.Content, snapshot, storeview.Position{Era: p.Era, Offset: uint64(p.Next)})
}

// apply puts newer content in force and reports whether it did. If the content is
// invalid, the former version stays in force.
func (t *tablesFollower) apply(content *catalog.Content, snapshot []byte, next storeview.Position) bool {
	if content.Version <= t.version() {
		return false
	}
	newest, err := catalog.New(*content)
	if err != nil {
		logging.ErrorEvent("tables", "version-rejected", err, "version", uint64(content.Version), "in_force", uint64(t.version()))
		return false
	}
	logging.InfoEvent("tables", "version-in-force", "version", uint64(content.Version), "former", uint64(t.version()), "routes", len(content.Routes),
		"source", int(t.source.Load()))
	t.current.Store(&tablesInForce{catalog: newest, snapshot: snapshot, next: next})
	t.onChange(newest)
	return true
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
