package agent

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// recordStore is a store that keeps the records of backend servers. A repeat of an append
// gets the response of the first one.
type recordStore struct {
	Store
	mu      sync.Mutex
	epoch   uint64
	record  ServerRecord
	lost    int // responses of writes that are still to be lost
	refused int // writes that are still to be refused
	writes  int
}

func (s *recordStore) ReadServer(context.Context, string) (ServerRecord, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record, 0, nil
}

func (s *recordStore) WriteServer(_ context.Context, _ string, r ServerRecord, epoch uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	switch {
	case s.refused > 0:
		s.refused--
		return 0, errors.New("unavailable")
	case epoch < s.epoch:
		return 0, ErrFenced
	case epoch > s.epoch:
		s.epoch, s.record = epoch, r
	}
	if s.lost > 0 {
		s.lost--
		return 0, errors.New("no response")
	}
	return 0, nil
}

// Guards against an acknowledged departure that the store does not have: after lost
// responses and refused writes, after a write of a process whose clock was ahead, and if the
// server leaves while the store has its start in an unknown state.
func TestAwaitedRecordIsStored(t *testing.T) {
	for name, store := range map[string]*recordStore{
		"well":            {},
		"lost responses":  {lost: 1},
		"refused writes":  {refused: 1},
		"clock set back":  {epoch: uint64(time.Now().Add(time.Hour).UnixMilli())},
		"lost and behind": {lost: 1, epoch: uint64(time.Now().Add(time.Minute).UnixMilli())},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			server := newServerState(heartbeatInterval, ownAddress)
			server.awaitsRecord = true
			r := newServerRecorder(store, "m", server, func() uint64 { return 0 }, func(uint64) {})
			server.onChange = func(ServerView) { r.wake() }
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go r.run(ctx)
			now := time.Now()
			g.Expect(server.applyHeartbeat(now, testHeartbeat("a", 5, 1, StateReady))).To(Succeed())
			server.deregister(now, "a", 5)
			g.Expect(r.await(ctx)).To(Succeed())
			g.Expect(r.pending()).To(BeZero())
			store.mu.Lock()
			defer store.mu.Unlock()
			g.Expect(store.record).To(Equal(ServerRecord{Server: "a", Started: 5, Leaving: true}))
			g.Expect(store.writes).To(BeNumerically("<", 40))
		})
	}
}
