package agent

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/peer"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/version/catalog"
	"tarragonshore.example/tarragonshore/internal/version/confirmation"
	"tarragonshore.example/tarragonshore/internal/version/storeview"
)

// Guards against trusting tables for too long: a read proves that nothing newer was
// published up to a time before the store responded, never after.
func TestConfirmationTimeIsBeforeTheResponse(t *testing.T) {
	g := NewWithT(t)
	const begun = 10 * time.Second
	g.Expect(confirmationTime(begun, begun+pollWait/2, true, pollWait)).To(Equal(begun), "the poll returned early")
	g.Expect(confirmationTime(begun, begun+pollWait, false, pollWait)).To(Equal(begun), "the poll returned records, written at an unknown time")
	full := confirmationTime(begun, begun+pollWait, true, pollWait)
	g.Expect(full).To(BeNumerically(">", begun+pollWait/2))
	g.Expect(full).To(BeNumerically("<", begun+pollWait))
	frozen := confirmationTime(begun, begun+time.Minute, true, pollWait)
	g.Expect(frozen).To(Equal(full), "time for which the process was suspended proves nothing")
}

// scriptedStore answers reads from a script and blocks when that is exhausted.
type scriptedStore struct {
	Store
	mu     sync.Mutex
	script []func() (Publication, error)
}

func (s *scriptedStore) step(ctx context.Context) (Publication, error) {
	s.mu.Lock()
	if len(s.script) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return Publication{}, ctx.Err()
	}
	next := s.script[0]
	s.script = s.script[1:]
	s.mu.Unlock()
	return next()
}

func (s *scriptedStore) Newest(ctx context.Context) (Publication, error) { return s.step(ctx) }
func (s *scriptedStore) Next(ctx context.Context, _ Offset, _ time.Duration) (Publication, error) {
	return s.step(ctx)
}

// virtualClock returns a boot clock that follows the time of a synctest bubble.
func virtualClock() bootClock {
	begun := time.Now()
	return bootClock{boot: func() time.Duration { return time.Second + time.Since(begun) }, instant: currentInstant}
}

// noPeers is a fleet without other members.
type noPeers struct{}

func (noPeers) tablesState() confirmation.State {
	return confirmation.State{Started: time.Minute, Listed: time.Minute}
}

func (noPeers) askTables(context.Context, string, wire.TablesRequest, <-chan struct{}) (*wire.TablesReply, error) {
	return nil, errLinkLost
}

func version(n catalog.Version) func() (Publication, error) {
	return func() (Publication, error) {
		return Publication{Next: Offset(n), Content: &catalog.Content{Version: n}}, nil
	}
}

func failing() (Publication, error) { return Publication{}, errors.New("no answer") }

func historyLost() (Publication, error) { return Publication{}, ErrHistoryLost }

// The tables in force are replaced only by a newer version, whatever the store returns
// again after lost responses or lost history. Invalid content changes nothing.
func TestTablesVersionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		broken := func() (Publication, error) {
			return Publication{Next: 9, Content: &catalog.Content{Version: 9, Routes: []catalog.Route{{Name: "r"}}}}, nil
		}
		store := &scriptedStore{script: []func() (Publication, error){
			failing, version(4), failing, version(7), historyLost, version(4), broken, version(8), version(7),
		}}
		follower := newTablesFollower(store, 5*time.Second, "host-0", "zone-a")
		follower.peers = noPeers{}
		follower.clock = virtualClock()
		var seen []catalog.Version
		follower.onChange = func(c *catalog.Catalog) { seen = append(seen, c.Version()) }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); follower.follow(ctx) }()
		time.Sleep(time.Minute)
		synctest.Wait()
		g.Expect(seen).To(Equal([]catalog.Version{4, 7, 8}))
		g.Expect(follower.version()).To(Equal(catalog.Version(8)))
		cancel()
		<-done
	})
}

// Before the first read the tables are missing and count as stale.
func TestTablesAreStaleBeforeTheFirstRead(t *testing.T) {
	g := NewWithT(t)
	follower := newTablesFollower(&scriptedStore{}, 5*time.Second, "host-0", "zone-a")
	g.Expect(follower.age()).To(BeNumerically(">", time.Hour))
	g.Expect(follower.catalog()).To(BeNil())
}

// answerRecorder is a link that records the replies sent on it.
type answerRecorder struct {
	peer.Link
	replies []wire.TablesReply
}

func (r *answerRecorder) Number() uint64 { return 1 }
func (r *answerRecorder) Send(m wire.Message) error {
	r.replies = append(r.replies, m.(wire.TablesReply))
	return nil
}

// Guards against a reader that is paused between the steps of its answer: the time of the
// pause must not make its confirmation look fresher to the asker.
func TestPausedReaderAnswersTruthfully(t *testing.T) {
	g := NewWithT(t)
	for paused := range 4 { // the reading of the clock before which the process is paused
		now, readings := time.Minute, -1
		follower := newTablesFollower(&scriptedStore{}, 5*time.Second, "host-0", "zone-a")
		follower.clock = bootClock{boot: func() time.Duration {
			if readings++; readings == paused {
				now += 5 * time.Second
			}
			return now
		}, instant: func() instant {
			return instant{monotonic: time.Duration(readings) * time.Hour} // no reading is extrapolated
		}}
		follower.apply(&catalog.Content{Version: 3}, nil, storeview.Position{})
		confirmed := now
		follower.confirm(confirmed, 0)
		link := &answerRecorder{}
		follower.onQuestion(link, &wire.TablesRequest{Number: 7, Version: 3})
		g.Expect(link.replies).To(HaveLen(1))
		reply := link.replies[0]
		proven, ok := confirmation.ProvenTime(confirmed, now, 3, confirmation.Answer{Version: reply.Version, Age: reply.Age, Held: reply.Held})
		g.Expect(ok).To(BeTrue())
		g.Expect(proven).To(BeNumerically("<=", confirmed), "paused before reading %d", paused)
	}
}
