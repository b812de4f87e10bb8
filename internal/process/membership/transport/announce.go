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

// Times of the announcements.
const (
	// AnnounceInterval is the mean time between two announcements; each wait is
	// up to a tenth shorter or longer, so that daemons started together spread out.
	AnnounceInterval = 10 * time.Minute
	// followPause is the wait between two reads of the stream. News travels by
	// UDP; the stream only leads to members that no other member knows.
	followPause = 10 * time.Second
	// pollTime is how long a read waits for a record.
	pollTime = 30 * time.Second
	// callTime bounds one call to the log, beyond its poll time.
	callTime = 5 * time.Second
	// The wait after a failed call doubles between these bounds.
	retryMin = 500 * time.Millisecond
	retryMax = 30 * time.Second
	// readLimit is the number of records per read.
	readLimit = 1000
)

// Seed is what the members stream says at start.
type Seed struct {
	// Records holds the newest announcement of each member.
	Records []membership.Record
	// Next is the offset to follow the stream from.
	Next platform.Offset
	// Highest is the greatest incarnation found of this daemon's own name.
	Highest uint64
	// Invalid counts records that could not be decoded.
	Invalid int
}

// seedRecords is how far back from the stream's end a daemon reads at its start.
// It covers two announcements of 1,100 members and the restarts of a bad day; a
// whole stream with a week of retention has a million records.
const seedRecords = 4096

// ReadSeed reads the latest seedRecords of the members stream. With an error,
// the seed holds what was read until then.
func ReadSeed(ctx context.Context, log platform.Log, clock Clock, name string) (Seed, error) {
	var seed Seed
	newest := map[string]int{}
	// The limit of a read bounds only the records; First and Next are those of
	// the whole stream.
	probe, err := log.Read(ctx, platform.StreamMembers, 0, 1, 0)
	if err != nil {
		return seed, err
	}
	seed.Next = probe.First
	if probe.Next > probe.First+seedRecords {
		seed.Next = probe.Next - seedRecords
	}
	for {
		batch, err := read(ctx, log, seed.Next, 0)
		if err != nil {
			return seed, err
		}
		for _, record := range batch.Records {
			_, r, err := membership.DecodeAnnouncement(record.Data, clock.Now())
			if err != nil {
				seed.Invalid++
				continue
			}
			if r.Name == name {
				seed.Highest = max(seed.Highest, r.Incarnation)
				continue
			}
			i, known := newest[r.Name]
			switch {
			case !known:
				newest[r.Name] = len(seed.Records)
				seed.Records = append(seed.Records, r)
			case r.Incarnation >= seed.Records[i].Incarnation:
				seed.Records[i] = r
			}
		}
		var end bool
		if seed.Next, end = next(batch); end {
			return seed, nil
		}
	}
}

// next returns the offset after a batch and whether that is the stream's end.
func next(b platform.Batch) (offset platform.Offset, end bool) {
	offset = b.Next
	if n := len(b.Records); n > 0 {
		offset = b.Records[n-1].Offset + 1
	}
	return offset, offset >= b.Next
}

// ChooseIncarnation returns the incarnation of a daemon that starts now: the wall
// clock in nanoseconds, raised above the greatest one found on the log, so that a
// clock that was set back does not make the new daemon look old.
func ChooseIncarnation(now time.Time, highest uint64) uint64 {
	return max(uint64(now.UnixNano()), highest+1)
}

// Announcer writes this daemon's record to the members stream and reads the others'.
type Announcer struct {
	Log     platform.Log
	Clock   Clock
	Service *Service
	// Rand is used only under the announcer's lock.
	Rand *rand.Rand
	// OnError is told of failed calls, which are repeated, and of records that
	// cannot be decoded. It may be nil and must be safe for concurrent use.
	OnError func(error)

	mu       sync.Mutex
	position platform.Offset // up to here the stream has been read
}

// Run hands the seed over to the service, announces at once and then every
// AnnounceInterval, and follows the stream, until the context ends.
func (a *Announcer) Run(ctx context.Context, seed Seed) {
	a.setPosition(seed.Next)
	for _, r := range seed.Records {
		a.Service.Announced(r)
	}
	var group sync.WaitGroup
	group.Go(func() { a.follow(ctx) })
	group.Go(func() {
		for ctx.Err() == nil {
			wait := AnnounceInterval*9/10 + a.jitter(AnnounceInterval/5)
			if a.Announce(ctx) != nil {
				wait = retryMax/2 + a.jitter(retryMax/2)
			}
			a.pause(ctx, wait)
		}
	})
	group.Wait()
}

// follow reads the stream from the position on.
func (a *Announcer) follow(ctx context.Context) {
	wait := retryMin
	for ctx.Err() == nil {
		batch, err := read(ctx, a.Log, a.getPosition(), pollTime)
		if err != nil {
			a.failed(err)
			a.pause(ctx, wait/2+a.jitter(wait/2))
			wait = min(2*wait, retryMax)
			continue
		}
		wait = retryMin
		for _, record := range batch.Records {
			if _, r, err := membership.DecodeAnnouncement(record.Data, a.Clock.Now()); err != nil {
				a.failed(err)
			} else {
				a.Service.Announced(r)
			}
		}
		offset, end := next(batch)
		a.setPosition(offset)
		if end {
			a.pause(ctx, followPause)
		}
	}
}

// Announce appends this daemon's present record. If the answer is lost, it reads
// back, and appends again only if the record is not there. It returns an error if
// the log rejected the record or the context ended. After Service.Leave it tells
// later readers that this daemon has left.
func (a *Announcer) Announce(ctx context.Context) error {
	from := a.getPosition()
	var id [16]byte
	if _, err := crand.Read(id[:]); err != nil {
		return err
	}
	data := membership.EncodeAnnouncement(id, a.Service.Self().Record, a.Clock.Now())
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTime)
		_, err := a.Log.Append(call, platform.StreamMembers, data)
		cancel()
		if err == nil {
			return nil
		}
		a.failed(err)
		if errors.Is(err, platform.ErrRejected) || errors.Is(err, platform.ErrTooLarge) {
			return err
		}
		if a.settle(ctx, id, from) {
			return nil
		}
	}
	return ctx.Err()
}

// settle reads back until it knows whether the announcement is on the log. It
// returns false if it is not, or if the context ended.
func (a *Announcer) settle(ctx context.Context, id [16]byte, from platform.Offset) bool {
	wait := retryMin
	for {
		a.pause(ctx, wait/2+a.jitter(wait/2))
		if ctx.Err() != nil {
			return false
		}
		found, err := a.find(ctx, id, from)
		if err == nil {
			return found
		}
		a.failed(err)
		wait = min(2*wait, retryMax)
	}
}

// find looks for an announcement from an offset on.
func (a *Announcer) find(ctx context.Context, id [16]byte, from platform.Offset) (bool, error) {
	for {
		batch, err := read(ctx, a.Log, from, 0)
		if err != nil {
			return false, err
		}
		for _, record := range batch.Records {
			if got, _, err := membership.DecodeAnnouncement(record.Data, a.Clock.Now()); err == nil && got == id {
				return true, nil
			}
		}
		offset, end := next(batch)
		if end {
			return false, nil
		}
		from = offset
	}
}

func read(ctx context.Context, log platform.Log, from platform.Offset, wait time.Duration) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTime)
	defer cancel()
	return log.Read(ctx, platform.StreamMembers, from, readLimit, wait)
}

func (a *Announcer) failed(err error) {
	if a.OnError != nil {
		a.OnError(err)
	}
}

func (a *Announcer) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-a.Clock.After(d):
	}
}

// jitter returns a random time below the limit.
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
