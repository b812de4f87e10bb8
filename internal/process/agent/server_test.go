package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/warmup"
	"tarragonshore.example/tarragonshore/internal/version/catalog"
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
			s.deregister(now, "a", 0)
			_ = s.applyHeartbeat(now, testHeartbeat("a", 1, 6, StateReady))
		}, 0, wire.ServerDraining},
		"another server deregisters": {func(s *serverState) {
			_ = s.applyHeartbeat(now, testHeartbeat("b", 2, 1, StateReady))
			s.deregister(now, "a", 0)
		}, 0, wire.ServerReady},
		"a former start deregisters late": {func(s *serverState) {
			_ = s.applyHeartbeat(now, testHeartbeat("a", 2, 1, StateReady))
			s.deregister(now, "a", 1)
		}, 0, wire.ServerReady},
		"it deregisters before its first heartbeat at this daemon": {func(s *serverState) {
			s.deregister(now, "a", 1)
			_ = s.applyHeartbeat(now, testHeartbeat("a", 1, 5, StateReady))
		}, 0, wire.ServerDraining},
		"a later start deregisters before its first heartbeat": {func(s *serverState) {
			_ = s.applyHeartbeat(now, testHeartbeat("a", 1, 5, StateReady))
			s.deregister(now, "a", 2)
			_ = s.applyHeartbeat(now, testHeartbeat("a", 2, 1, StateReady))
		}, 0, wire.ServerDraining},
		"a later server deregisters before its first heartbeat": {func(s *serverState) {
			_ = s.applyHeartbeat(now, testHeartbeat("a", 1, 5, StateReady))
			s.deregister(now, "b", 2)
			_ = s.applyHeartbeat(now, testHeartbeat("b", 2, 1, StateReady))
		}, 0, wire.ServerDraining},
		"another server, of a release without start times, follows it": {func(s *serverState) {
			_ = s.applyHeartbeat(now, testHeartbeat("a", 1, 5, StateReady))
			_ = s.applyHeartbeat(now, testHeartbeat("b", 0, 1, StateDraining))
		}, 0, wire.ServerDraining},
		"it deregisters, then another writer sends a heartbeat without a start time": {func(s *serverState) {
			_ = s.applyHeartbeat(now, testHeartbeat("a", 1, 5, StateReady))
			s.deregister(now, "a", 1)
			_ = s.applyHeartbeat(now, testHeartbeat("a", 0, 9, StateReady))
		}, 0, wire.ServerDraining},
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

// Guards against a daemon that starts again and takes a late heartbeat of a start that has
// left, or that was replaced, for one of the present start; and against one that then
// refuses a new start.
func TestRecordOfAFormerProcess(t *testing.T) {
	now := time.Now()
	left, present := ServerRecord{Server: "a", Started: 5, Leaving: true}, ServerRecord{Server: "a", Started: 5}
	beat := func(s *serverState, id string, started, sequence int64) {
		_ = s.applyHeartbeat(now, testHeartbeat(id, started, sequence, StateReady))
	}
	for name, c := range map[string]struct {
		events    func(s *serverState)
		want      wire.ServerState
		record    ServerRecord // afterwards
		unsettled bool
	}{
		"not read yet":           {func(s *serverState) { beat(s, "a", 5, 1) }, wire.ServerAbsent, present, true},
		"none":                   {func(s *serverState) { s.applyRecord(now, ServerRecord{}, 0); beat(s, "a", 5, 1) }, wire.ServerReady, present, false},
		"none, after heartbeat":  {func(s *serverState) { beat(s, "a", 5, 1); s.applyRecord(now, ServerRecord{}, 0) }, wire.ServerReady, present, false},
		"present":                {func(s *serverState) { s.applyRecord(now, present, 0) }, wire.ServerAbsent, present, false},
		"present, heartbeat":     {func(s *serverState) { s.applyRecord(now, present, 0); beat(s, "a", 5, 1) }, wire.ServerReady, present, false},
		"left, late heartbeat":   {func(s *serverState) { s.applyRecord(now, left, 0); beat(s, "a", 5, 9) }, wire.ServerDraining, left, false},
		"late heartbeat, left":   {func(s *serverState) { beat(s, "a", 5, 9); s.applyRecord(now, left, 0) }, wire.ServerDraining, left, false},
		"heartbeat before left":  {func(s *serverState) { beat(s, "z", 4, 9); s.applyRecord(now, left, 0) }, wire.ServerDraining, left, false},
		"left, earlier start":    {func(s *serverState) { s.applyRecord(now, left, 0); beat(s, "z", 4, 9) }, wire.ServerDraining, left, false},
		"present, earlier start": {func(s *serverState) { s.applyRecord(now, present, 0); beat(s, "z", 4, 9) }, wire.ServerAbsent, present, false},
		"left, another writer":   {func(s *serverState) { s.applyRecord(now, left, 0); beat(s, "a", 0, 99) }, wire.ServerDraining, left, false},
		"left, new start":        {func(s *serverState) { s.applyRecord(now, left, 0); beat(s, "a", 6, 1) }, wire.ServerReady, ServerRecord{Server: "a", Started: 6}, false},
		"new start, left":        {func(s *serverState) { beat(s, "a", 6, 1); s.applyRecord(now, left, 0) }, wire.ServerReady, ServerRecord{Server: "a", Started: 6}, false},
		"left, other id":         {func(s *serverState) { s.applyRecord(now, left, 0); beat(s, "b", 6, 1) }, wire.ServerReady, ServerRecord{Server: "b", Started: 6}, false},
		"left, release without start times": {func(s *serverState) { s.applyRecord(now, left, 0); beat(s, "b", 0, 1) }, wire.ServerReady,
			ServerRecord{Server: "b"}, false},
		"deregistered before the record is read": {func(s *serverState) { s.deregister(now, "a", 5); s.applyRecord(now, present, 0) }, wire.ServerDraining, left, false},
		"start time set back": {func(s *serverState) {
			s.applyRecord(now, left, 0)
			for i := range int64(8) {
				_ = s.applyHeartbeat(now.Add(-time.Duration(7-i)*heartbeatInterval), testHeartbeat("b", 3, i+1, StateReady))
			}
			beat(s, "a", 5, 9) // late
			s.deregister(now, "a", 5)
		}, wire.ServerReady, ServerRecord{Server: "b", Started: 3}, false},
		"the store has lost records": {func(s *serverState) { s.applyRecord(now, present, 1); beat(s, "a", 5, 2) }, wire.ServerAbsent, present, true},
		"the store has lost all":     {func(s *serverState) { s.applyRecord(now, ServerRecord{}, 1); beat(s, "a", 5, 2) }, wire.ServerAbsent, present, true},
		"the store has lost records, new start": {func(s *serverState) { s.applyRecord(now, present, 1); beat(s, "a", 6, 2) }, wire.ServerAbsent,
			ServerRecord{Server: "a", Started: 6}, true},
		"the store has lost records, left": {func(s *serverState) { s.applyRecord(now, present, 1); s.deregister(now, "a", 5); beat(s, "a", 5, 2) },
			wire.ServerDraining, left, false},
		"the store has lost records, heartbeats go on": {func(s *serverState) {
			s.applyRecord(now, present, 1)
			for i := range int64(8) {
				_ = s.applyHeartbeat(now.Add(-time.Duration(7-i)*heartbeatInterval), testHeartbeat("a", 5, i+1, StateReady))
			}
		}, wire.ServerReady, present, false},
		"the store has lost records, late heartbeats": {func(s *serverState) {
			s.applyRecord(now, present, 1)
			for i := range int64(8) { // of two starts
				_ = s.applyHeartbeat(now.Add(-time.Duration(7-i)*heartbeatInterval), testHeartbeat("a", 5+i/4, i+1, StateReady))
			}
		}, wire.ServerAbsent, ServerRecord{Server: "a", Started: 6}, true},
		"late heartbeats of an earlier start": {func(s *serverState) {
			s.applyRecord(now, left, 0)
			for i := range int64(5) {
				_ = s.applyHeartbeat(now.Add(-time.Duration(4-i)*heartbeatInterval), testHeartbeat("z", 3, i+1, StateReady))
			}
		}, wire.ServerDraining, left, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newServerState(heartbeatInterval, ownAddress)
			s.awaitsRecord = true
			c.events(s)
			g.Expect(s.view(now).State).To(Equal(c.want))
			record, settled := s.record()
			g.Expect(record).To(Equal(c.record))
			g.Expect(settled).To(Equal(!c.unsettled))
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

// limitedServer returns the state of a warm server whose service limits cold ones to 16
// requests per second.
func limitedServer(t *testing.T, now time.Time) *serverState {
	t.Helper()
	s := newServerState(heartbeatInterval, ownAddress)
	s.warmUp = warmup.New(now, warmup.Tolerance{Overage: 1}, 3*time.Second)
	c, err := catalog.New(catalog.Content{Version: 1, Services: []string{"stock"}, WarmUps: []catalog.WarmUp{{Service: "stock", Rate: 16, HealthPath: "/health"}}})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s.setTables(now, c)
	_ = s.applyHeartbeat(now, testHeartbeat("a", 5, 1, StateReady))
	s.applyHealth(now.Add(time.Millisecond), now.Add(time.Millisecond), HealthFields{Server: "a"})
	return s
}

// Guards against a limit that does not begin with a restart, or that a message from before
// the restart or from another server lifts.
func TestLimitOfARestartedServer(t *testing.T) {
	begun := time.Now()
	at := func(ms int) time.Time { return begun.Add(time.Duration(ms) * time.Millisecond) }
	beat := func(s *serverState, ms int, started, sequence int64, warmUp time.Duration) {
		h := testHeartbeat("a", started, sequence, StateReady)
		h.WarmUp = warmUp
		_ = s.applyHeartbeat(at(ms), h)
	}
	reset := func(s *serverState) { s.mayHaveRestarted(at(100), warmup.SignConnectionLost) }
	for name, c := range map[string]struct {
		events  func(s *serverState)
		limited bool // at 1 s
	}{
		"nothing":                            {func(*serverState) {}, false},
		"a lost connection":                  {reset, true},
		"a refused connection":               {func(s *serverState) { s.connectionRefused(at(100)) }, true},
		"a heartbeat of another start":       {func(s *serverState) { beat(s, 100, 6, 1, 0) }, true},
		"a late heartbeat of a start before": {func(s *serverState) { beat(s, 100, 4, 9, 3*time.Second) }, false},
		"the same start is cold again":       {func(s *serverState) { beat(s, 100, 5, 2, 3*time.Second) }, true},
		"a heartbeat from before the reset":  {func(s *serverState) { reset(s); beat(s, 200, 5, 2, 0) }, true},
		"a health response after the reset":  {func(s *serverState) { reset(s); s.applyHealth(at(102), at(101), HealthFields{Server: "a"}) }, false},
		"a health response that is cold": {func(s *serverState) {
			reset(s)
			s.applyHealth(at(102), at(101), HealthFields{Server: "a", WarmUp: 2 * time.Second})
			beat(s, 300, 5, 2, 0)
		}, true},
		"a health response to a query before": {func(s *serverState) { reset(s); s.applyHealth(at(102), at(99), HealthFields{Server: "a"}) }, true},
		"a health response of another server": {func(s *serverState) { reset(s); s.applyHealth(at(102), at(101), HealthFields{Server: "b"}) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := limitedServer(t, begun)
			c.events(s)
			state, url := s.warmUpState(at(1000))
			g.Expect(state.limited).To(Equal(c.limited))
			g.Expect(url != "").To(Equal(state.sign != ""), "asked for as long as it may have restarted")
		})
	}
}
