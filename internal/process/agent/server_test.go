package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

const (
	ownAddress        = "10.1.0.26:8547"
	heartbeatInterval = 1500 * time.Millisecond
)

func testHeartbeat(id string, started, sequence int64, state State) Heartbeat {
	return Heartbeat{Server: id, Service: "stock", Address: ownAddress, State: state, Slots: 10, Sequence: sequence, Started: started}
}

func TestServerPhases(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		events func(s *serverState)
		at     time.Duration
		want   wire.ServerState
	}{
		"no heartbeat":      {func(*serverState) {}, 0, wire.ServerAbsent},
		"ready":             {func(s *serverState) { _ = s.applyHeartbeat(now, testHeartbeat("a", 1, 1, StateReady)) }, 0, wire.ServerReady},
		"missed heartbeats": {func(s *serverState) { _ = s.applyHeartbeat(now, testHeartbeat("a", 1, 1, StateReady)) }, 6 * heartbeatInterval, wire.ServerAbsent},
		"late heartbeats":   {func(s *serverState) { _ = s.applyHeartbeat(now, testHeartbeat("a", 1, 1, StateReady)) }, 3 * heartbeatInterval, wire.ServerReady},
		"a heartbeat out of order does not undo draining": {func(s *serverState) {
			_ = s.applyHeartbeat(now, testHeartbeat("a", 1, 5, StateDraining))
			_ = s.applyHeartbeat(now, testHeartbeat("a", 1, 4, StateReady))
		}, 0, wire.ServerDraining},
		"a later heartbeat does not undo draining": {func(s *serverState) {
			_ = s.applyHeartbeat(now, testHeartbeat("a", 1, 5, StateDraining))
			_ = s.applyHeartbeat(now, testHeartbeat("a", 1, 6, StateReady))
		}, 0, wire.ServerDraining},
		"it deregisters, then sends a heartbeat": {func(s *serverState) {
			_ = s.applyHeartbeat(now, testHeartbeat("a", 1, 5, StateReady))
			s.deregister(now, "a")
			_ = s.applyHeartbeat(now, testHeartbeat("a", 1, 6, StateReady))
		}, 0, wire.ServerDraining},
		"another server deregisters": {func(s *serverState) {
			_ = s.applyHeartbeat(now, testHeartbeat("b", 2, 1, StateReady))
			s.deregister(now, "a")
		}, 0, wire.ServerReady},
		"it restarts with the same id": {func(s *serverState) {
			_ = s.applyHeartbeat(now, testHeartbeat("a", 1, 50, StateDraining))
			_ = s.applyHeartbeat(now, testHeartbeat("a", 2, 1, StateReady))
		}, 0, wire.ServerReady},
		"a heartbeat of an earlier start arrives late": {func(s *serverState) {
			_ = s.applyHeartbeat(now, testHeartbeat("b", 2, 1, StateReady))
			_ = s.applyHeartbeat(now, testHeartbeat("a", 1, 90, StateDraining))
		}, 0, wire.ServerReady},
		"it refuses connections": {func(s *serverState) {
			_ = s.applyHeartbeat(now, testHeartbeat("a", 1, 1, StateReady))
			s.connectionRefused(now)
		}, 0, wire.ServerAbsent},
		"it is tried again after refusing": {func(s *serverState) {
			_ = s.applyHeartbeat(now, testHeartbeat("a", 1, 1, StateReady))
			s.connectionRefused(now)
		}, refusedTime, wire.ServerReady},
		"it warms up": {func(s *serverState) {
			a := testHeartbeat("a", 1, 1, StateReady)
			a.WarmUp = time.Second
			_ = s.applyHeartbeat(now, a)
		}, 500 * time.Millisecond, wire.ServerWarmingUp},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServerState(heartbeatInterval, ownAddress)
			c.events(s)
			NewWithT(t).Expect(s.view(now.Add(c.at)).State).To(Equal(c.want))
		})
	}
}

// Guards against heartbeats that reach the wrong daemon: the address of a backend
// server that has ended may be reused by another host's server.
func TestHeartbeatOfAnotherAddressIsRejected(t *testing.T) {
	g := NewWithT(t)
	s := newServerState(heartbeatInterval, ownAddress)
	a := testHeartbeat("a", 1, 1, StateReady)
	a.Address = "10.1.0.27:8547"
	g.Expect(s.applyHeartbeat(time.Now(), a)).To(MatchError(errOtherAddress))
	g.Expect(s.view(time.Now()).State).To(Equal(wire.ServerAbsent))
}
