package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

const (
	ownAddress = "10.1.0.26:8547"
	beat       = 1500 * time.Millisecond
)

func announcement(id string, started, sequence int64, phase Phase) Announcement {
	return Announcement{Server: id, Service: "stock", Address: ownAddress, Phase: phase, Slots: 10, Sequence: sequence, Started: started}
}

func TestServerPhases(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		events func(s *server)
		at     time.Duration
		want   wire.ServerPhase
	}{
		"nothing announced": {func(*server) {}, 0, wire.ServerAbsent},
		"ready":             {func(s *server) { _ = s.announced(now, announcement("a", 1, 1, PhaseReady)) }, 0, wire.ServerReady},
		"missed heartbeats": {func(s *server) { _ = s.announced(now, announcement("a", 1, 1, PhaseReady)) }, 6 * beat, wire.ServerAbsent},
		"late heartbeats":   {func(s *server) { _ = s.announced(now, announcement("a", 1, 1, PhaseReady)) }, 3 * beat, wire.ServerReady},
		"an overtaken heartbeat does not bring it back": {func(s *server) {
			_ = s.announced(now, announcement("a", 1, 5, PhaseLeaving))
			_ = s.announced(now, announcement("a", 1, 4, PhaseReady))
		}, 0, wire.ServerLeaving},
		"a later heartbeat does not bring a leaving one back": {func(s *server) {
			_ = s.announced(now, announcement("a", 1, 5, PhaseLeaving))
			_ = s.announced(now, announcement("a", 1, 6, PhaseReady))
		}, 0, wire.ServerLeaving},
		"it says that it ends first": {func(s *server) {
			_ = s.announced(now, announcement("a", 1, 5, PhaseReady))
			s.leave(now, "a")
			_ = s.announced(now, announcement("a", 1, 6, PhaseReady))
		}, 0, wire.ServerLeaving},
		"another one says that it ends": {func(s *server) {
			_ = s.announced(now, announcement("b", 2, 1, PhaseReady))
			s.leave(now, "a")
		}, 0, wire.ServerReady},
		"it starts again under its id": {func(s *server) {
			_ = s.announced(now, announcement("a", 1, 50, PhaseLeaving))
			_ = s.announced(now, announcement("a", 2, 1, PhaseReady))
		}, 0, wire.ServerReady},
		"a heartbeat of an earlier start arrives late": {func(s *server) {
			_ = s.announced(now, announcement("b", 2, 1, PhaseReady))
			_ = s.announced(now, announcement("a", 1, 90, PhaseLeaving))
		}, 0, wire.ServerReady},
		"it refuses connections": {func(s *server) {
			_ = s.announced(now, announcement("a", 1, 1, PhaseReady))
			s.refused(now)
		}, 0, wire.ServerAbsent},
		"it is tried again": {func(s *server) {
			_ = s.announced(now, announcement("a", 1, 1, PhaseReady))
			s.refused(now)
		}, refusedPause, wire.ServerReady},
		"it warms up": {func(s *server) {
			a := announcement("a", 1, 1, PhaseReady)
			a.WarmUp = time.Second
			_ = s.announced(now, a)
		}, 500 * time.Millisecond, wire.ServerWarming},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(beat, ownAddress)
			c.events(s)
			NewWithT(t).Expect(s.view(now.Add(c.at)).Phase).To(Equal(c.want))
		})
	}
}

// The address of a backend server that has gone may serve another host's server.
func TestServerOfAnotherAddressIsRefused(t *testing.T) {
	g := NewWithT(t)
	s := newServer(beat, ownAddress)
	a := announcement("a", 1, 1, PhaseReady)
	a.Address = "10.1.0.27:8547"
	g.Expect(s.announced(time.Now(), a)).To(MatchError(errOtherServer))
	g.Expect(s.view(time.Now()).Phase).To(Equal(wire.ServerAbsent))
}
