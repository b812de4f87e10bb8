package transport

import (
	"context"
	crand "crypto/rand"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/membership"
	"tarragonshore.example/tarragonshore/internal/process/platform"
)

// Intervals, time-outs and limits of the announcements.
const (
	// AnnounceInterval is the mean time between two announcements. Each interval is
	// up to a tenth shorter or longer, so that daemons that started together do not
	// announce themselves at the same time.
	AnnounceInterval = 10 * time.Minute
	// followInterval is the wait between two reads of the stream. Updates are
	// disseminated over UDP; the stream is only needed to find members that no
	// other member knows.
	followInterval = 10 * time.Second
	// pollTimeout is how long a read waits for a record.
	pollTimeout = 30 * time.Second
	// callTimeout bounds a call to the log, in addition to the wait of a read.
	callTimeout = 5 * time.Second
	// The wait after a failed call doubles between these bounds.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 30 * time.Second
	// readLimit is the number of records per read.
	readLimit = 1000
)

// StreamSnapshot is the content of the members stream that a daemon reads at its start.
type StreamSnapshot struct {
	// Records holds the newest announcement of each member.
	Records []membership.Record
	// Next is the offset of the first record that was not read.
	Next platform.Offset
	// HighestIncarnation is the greatest incarnation found under this daemon's own name.
	HighestIncarnation uint64
	// Invalid counts records that could not be decoded.
	Invalid int
}

// maxSnapshotRecords is the number of records before the end of the stream that a daemon
// reads at its start. It covers two announcements of each of 1,100 members and a
// day with many restarts. The whole stream has a million records at a retention of a week.
const maxSnapshotRecords = 4096

// ReadStreamSnapshot reads the last maxSnapshotRecords of the members stream. On an error,
// it returns the content of the records read so far.
func ReadStreamSnapshot(ctx context.Context, log platform.Log, clock Clock, name string) (StreamSnapshot, error) {
	var snapshot StreamSnapshot
	newest := map[string]int{}
	// A read of one record returns First and Next of the whole stream.
	bounds, err := log.Read(ctx, platform.StreamMembers, 0, 1, 0)
	if err != nil {
		return snapshot, err
	}
	snapshot.Next = bounds.First
	if bounds.Next > bounds.First+maxSnapshotRecords {
		snapshot.Next = bounds.Next - maxSnapshotRecords
	}
	for {
		batch, err := readMembers(ctx, log, snapshot.Next, 0)
		if err != nil {
			return snapshot, err
		}
		for _, record := range batch.Records {
			_, r, err := membership.DecodeAnnouncement(record.Data, clock.Now())
			if err != nil {
				snapshot.Invalid++
				continue
			}
			if r.Name == name {
				snapshot.HighestIncarnation = max(snapshot.HighestIncarnation, r.Incarnation)
				continue
			}
			i, known := newest[r.Name]
			switch {
			case !known:
				newest[r.Name] = len(snapshot.Records)
				snapshot.Records = append(snapshot.Records, r)
			case r.Incarnation >= snapshot.Records[i].Incarnation:
				snapshot.Records[i] = r
			}
		}
		var end bool
		if snapshot.Next, end = nextOffset(batch); end {
			return snapshot, nil
		}
	}
}

// nextOffset returns the offset after a batch and whether it is the end of the stream.
func nextOffset(b platform.Batch) (offset platform.Offset, end bool) {
	offset = b.Next
	if n := len(b.Records); n > 0 {
		offset = b.Records[n-1].Offset + 1
	}
	return offset, offset >= b.Next
}

// ChooseIncarnation returns the incarnation of a daemon that starts now: the wall clock
// in nanoseconds, or one more than the greatest incarnation found on the log if that is
// greater. This keeps incarnations increasing if the clock was set back.
func ChooseIncarnation(now time.Time, highest uint64) uint64 {
	return max(uint64(now.UnixNano()), highest+1)
}

// Announcer appends this daemon's record to the members stream and reads the records of
// other members from it.
type Announcer struct {
	Log     platform.Log
	Clock   Clock
	Service *Service
	// Rand is used only under the announcer's lock.
	Rand *rand.Rand
	// OnError is called with errors of the log, after which the call is retried, and
	// with records that cannot be decoded. It may be nil and must be safe for
	// concurrent use.
	OnError func(error)

	mu       sync.Mutex
	position platform.Offset // of the first record that has not been read
}

// Run passes the records of the snapshot to the service, announces this daemon at once and
// then every AnnounceInterval, and follows the stream, until the context ends.
func (a *Announcer) Run(ctx context.Context, snapshot StreamSnapshot) {
	a.setPosition(snapshot.Next)
	for _, r := range snapshot.Records {
		a.Service.HandleAnnouncement(r)
	}
	var group sync.WaitGroup
	group.Go(func() { a.follow(ctx) })
	group.Go(func() {
		for ctx.Err() == nil {
			wait := AnnounceInterval*9/10 + a.jitter(AnnounceInterval/5)
			if a.Announce(ctx) != nil {
				wait = maxRetryDelay/2 + a.jitter(maxRetryDelay/2)
			}
			a.sleep(ctx, wait)
		}
	})
	group.Wait()
}

// follow passes new records of the stream to the service until the context ends.
func (a *Announcer) follow(ctx context.Context) {
	wait := minRetryDelay
	for ctx.Err() == nil {
		batch, err := readMembers(ctx, a.Log, a.getPosition(), pollTimeout)
		if err != nil {
			a.reportError(err)
			a.sleep(ctx, wait/2+a.jitter(wait/2))
			wait = min(2*wait, maxRetryDelay)
			continue
		}
		wait = minRetryDelay
		for _, record := range batch.Records {
			if _, r, err := membership.DecodeAnnouncement(record.Data, a.Clock.Now()); err != nil {
				a.reportError(err)
			} else {
				a.Service.HandleAnnouncement(r)
			}
		}
		offset, end := nextOffset(batch)
		a.setPosition(offset)
		if end {
			a.sleep(ctx, followInterval)
		}
	}
}

// Announce appends this daemon's current record. If the answer to the append is lost, it
// reads the stream to find out whether the record was added, and appends it again only if
// it was not. It returns an error if the log rejected the record or the context ended.
// After Service.Leave the record states that this daemon has left.
func (a *Announcer) Announce(ctx context.Context) error {
	from := a.getPosition()
	var id [16]byte
	if _, err := crand.Read(id[:]); err != nil {
		return err
	}
	data := membership.EncodeAnnouncement(id, a.Service.Self().Record, a.Clock.Now())
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := a.Log.Append(call, platform.StreamMembers, data)
		cancel()
		if err == nil {
			return nil
		}
		a.reportError(err)
		if errors.Is(err, platform.ErrRejected) || errors.Is(err, platform.ErrTooLarge) {
			return err
		}
		if a.confirmAppend(ctx, id, from) {
			return nil
		}
	}
	return ctx.Err()
}

// confirmAppend reads the stream until it knows whether it contains the announcement. It
// returns false if it does not, or if the context ended.
func (a *Announcer) confirmAppend(ctx context.Context, id [16]byte, from platform.Offset) bool {
	wait := minRetryDelay
	for {
		a.sleep(ctx, wait/2+a.jitter(wait/2))
		if ctx.Err() != nil {
			return false
		}
		found, err := a.findAnnouncement(ctx, id, from)
		if err == nil {
			return found
		}
		a.reportError(err)
		wait = min(2*wait, maxRetryDelay)
	}
}

// findAnnouncement reports whether the stream contains the announcement with the ID at
// or after an offset.
func (a *Announcer) findAnnouncement(ctx context.Context, id [16]byte, from platform.Offset) (bool, error) {
	for {
		batch, err := readMembers(ctx, a.Log, from, 0)
		if err != nil {
			return false, err
		}
		for _, record := range batch.Records {
			if got, _, err := membership.DecodeAnnouncement(record.Data, a.Clock.Now()); err == nil && got == id {
				return true, nil
			}
		}
		offset, end := nextOffset(batch)
		if end {
			return false, nil
		}
		from = offset
	}
}

func readMembers(ctx context.Context, log platform.Log, from platform.Offset, wait time.Duration) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return log.Read(ctx, platform.StreamMembers, from, readLimit, wait)
}

func (a *Announcer) reportError(err error) {
	if a.OnError != nil {
		a.OnError(err)
	}
}

func (a *Announcer) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-a.Clock.After(d):
	}
}

// jitter returns a random duration below the limit.
func (a *Announcer) jitter(limit time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(a.Rand.Int64N(int64(limit)))
}

func (a *Announcer) getPosition() platform.Offset {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.position
}

func (a *Announcer) setPosition(o platform.Offset) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.position = o
}
