package agent

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/backend"
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/metrics"
	"tarragonshore.example/tarragonshore/internal/process/rateshare"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/version/catalog"
	"tarragonshore.example/tarragonshore/internal/version/storeview"
)

// restoredStore answers reads from a script and records from which position each call
// reads, -1 for the newest records.
type restoredStore struct {
	scriptedStore
	from []int
}

func (s *restoredStore) Newest(ctx context.Context) (Publication, error) {
	s.record(-1)
	return s.step(ctx)
}

func (s *restoredStore) Next(ctx context.Context, from Offset, _ time.Duration) (Publication, error) {
	s.record(int(from))
	return s.step(ctx)
}

func (s *restoredStore) record(from int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.from = append(s.from, from)
}

func response(era uint64, next Offset, version catalog.Version, changes ...storeview.Change) func() (Publication, error) {
	return func() (Publication, error) {
		p := Publication{Era: era, Next: next, Evacuations: changes}
		if version > 0 {
			p.Content = &catalog.Content{Version: version}
		}
		return p, nil
	}
}

// Guards against a reader that misses the records which a restored store has put at
// offsets that it has read already: only the era shows it. Also guards against a version
// and an evacuation that the older copy takes back.
func TestReaderStartsAgainInANewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &restoredStore{scriptedStore: scriptedStore{script: []func() (Publication, error){
			response(0, 5, 7, storeview.Change{Zone: "north"}),
			response(1, 6, 0, storeview.Change{Zone: "void"}), // offset 5 was given out again
			response(1, 6, 4),
			response(0, 7, 9), // prepared before the restore
			response(1, 8, 4),
		}}}
		follower := newTablesFollower(store, 5*time.Second, "host-0", "zone-a")
		follower.peers, follower.clock = noPeers{}, virtualClock()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); follower.follow(ctx) }()
		time.Sleep(time.Second)
		synctest.Wait()
		store.mu.Lock()
		g.Expect(store.from).To(Equal([]int{-1, 5, -1, 6, -1, 8}))
		store.mu.Unlock()
		g.Expect(follower.version()).To(Equal(catalog.Version(7)))
		g.Expect(follower.evacuatedZones()).To(Equal([]string{"north"}))
		time.Sleep(storeview.RewriteTime)
		follower.updateEvacuations(follower.clock.now(), func(*storeview.Evacuations) {})
		g.Expect(follower.evacuatedZones()).To(BeEmpty(), "the operators did not write it again")
		cancel()
		<-done
	})
}

// Guards against a daemon that takes a peer's position for one of the present era, misses
// evacuations that a peer of an earlier release did not tell, or trusts a peer's
// confirmation of before the restore.
func TestRepliesCarryTheirEra(t *testing.T) {
	g := NewWithT(t)
	snapshot, err := (&catalog.Content{Version: 3}).Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	m, err := metrics.New()
	g.Expect(err).NotTo(HaveOccurred())
	follower := newTablesFollower(&scriptedStore{}, 5*time.Second, "host-0", "zone-a")
	follower.metrics, follower.clock = m, virtualClock()
	now := follower.clock.now()
	reply := &wire.TablesReply{Version: 3, Snapshot: snapshot, Next: 9, NextEra: 1, StoreEra: 2,
		Evacuations: &wire.Evacuations{Era: 2, Offset: 4, Zones: []string{"north"}}}
	follower.applyReply(now, now, "host-1", reply)
	g.Expect(follower.position).To(Equal(storeview.Position{Era: 1, Offset: 9}))
	g.Expect(follower.evacuatedZones()).To(Equal([]string{"north"}), "a daemon that starts")
	g.Expect(follower.evacuationsCover(follower.position)).To(BeTrue())
	confirmed := follower.confirmed.Load()
	g.Expect(confirmed).NotTo(BeZero())
	follower.applyReply(now+time.Second, now+time.Second, "host-2", &wire.TablesReply{Version: 3, StoreEra: 1})
	g.Expect(follower.confirmed.Load()).To(Equal(confirmed), "the era of the confirmation is over")
	link := &answerRecorder{}
	follower.onQuestion(link, &wire.TablesRequest{Number: 7})
	g.Expect(link.replies[0].NextEra).To(Equal(uint64(1)))
	g.Expect(link.replies[0].StoreEra).To(Equal(uint64(2)))
	follower.noteEra(3)
	g.Expect(follower.confirmed.Load()).To(BeZero(), "the read behind it may have spanned the restore")
	earlier := newTablesFollower(&scriptedStore{}, 5*time.Second, "host-0", "zone-a")
	earlier.metrics, earlier.clock = m, virtualClock()
	earlier.applyReply(now, now, "host-1", &wire.TablesReply{Version: 3, Snapshot: snapshot, Next: 9})
	g.Expect(earlier.evacuationsCover(earlier.position)).To(BeFalse(), "the newest records have to be read")
}

// Guards against a call that is given up since more servers of an evacuated zone refuse it
// than may fail to be reached, against a false "not executed", and against attempts that a
// process which was paused starts before it has heard of an evacuation.
func TestEvacuationRefusalsAreNotCounted(t *testing.T) {
	g := NewWithT(t)
	const servers = maxNotReached + 3
	m, err := metrics.New()
	g.Expect(err).NotTo(HaveOccurred())
	log := newRequestLog(noHeaders{}.Stamp)
	e := newExecutor(dottedIDs{noHeaders{}}, newServerState(heartbeatInterval, ownAddress), backend.NewExchanger(maxBodyBytes), m, log)
	ended := false
	e.onEvacuationEnd = func() { ended = true }
	e.setEvacuated(true)
	f := newFleet("m", "z", 1, rateshare.Tolerance{})
	for n := range servers {
		status := &wire.Status{Member: fmt.Sprint("m-", n), Incarnation: 1, Number: 1, Zone: "z", Server: fmt.Sprint("s-", n), Service: "stock",
			State: wire.ServerReady, Load: wire.Load{Number: 1, Limit: 10}}
		f.applyStatus(time.Now(), status)
		f.members[status.Member].self = true // run by the local executor
	}
	c := &call{service: "stock", attempts: 1, deadline: time.Now().Add(time.Second)}
	_, refusal, _ := newDispatcher(f, e, 0, m, log).dispatch(t.Context(), c)
	g.Expect(c.tried).To(HaveLen(servers))
	g.Expect(refusal.Kind).To(Equal(problem.KindEvacuated))
	g.Expect(refusal.Executed).To(Equal(problem.ExecutedNo))
	f.setEvacuated(time.Now(), []string{"z"})
	g.Expect(f.usableMembers()).To(BeZero())
	f.setEvacuated(time.Now(), nil)
	g.Expect(f.usableMembers()).To(BeEquivalentTo(servers))
	g.Expect(ended).To(BeFalse())
	follower := newTablesFollower(&scriptedStore{}, 5*time.Second, "host-0", "z")
	e.zoneRefusal = func() *problem.Problem { return follower.zoneRefusal("z") }
	e.setEvacuated(false)
	g.Expect(ended).To(BeTrue(), "the server may have restarted")
	g.Expect(e.refusalInZone()).To(BeNil())
	boot := time.Minute
	follower.clock = bootClock{boot: func() time.Duration { return boot }, instant: func() instant { return instant{monotonic: boot} }}
	for range 3 { // pauses
		follower.checkEvacuations()
		boot += storeview.MaxPause + time.Second
		g.Expect(e.refusalInZone().Executed).To(Equal(problem.ExecutedNo), "the process was paused, and may have missed an evacuation")
		follower.checkEvacuations()
		boot += storeview.ResumeTime / 2
		g.Expect(e.refusalInZone()).NotTo(BeNil())
		follower.confirm(boot, 0)
		g.Expect(e.refusalInZone()).To(BeNil())
	}
}
