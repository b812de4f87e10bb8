package admission_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	. "tarragonshore.example/tarragonshore/internal/request/admission"
)

// model mirrors the state that a Controller should have after its calls and
// decisions so far.
type model struct {
	c       *Controller
	now     time.Time
	next    int
	slots   int
	queued  map[ID]Request
	running map[ID]time.Time
}

// dequeue removes a request from the model's queue, in which it must be.
func (m *model) dequeue(t *rapid.T, id ID) Request {
	r, ok := m.queued[id]
	if !ok {
		t.Fatalf("request %v is not queued in the model", id)
	}
	delete(m.queued, id)
	return r
}

func (m *model) start(t *rapid.T, id ID) {
	if m.running[id] = m.now; len(m.running) > m.slots {
		t.Fatalf("%d running on %d slots", len(m.running), m.slots)
	}
}

func (m *model) offer(t *rapid.T, r Request) {
	d := m.c.Offer(m.now, r)
	switch d.Action {
	case Started:
		if len(m.queued) > 0 {
			t.Fatalf("Offer started a request although %d requests are queued", len(m.queued))
		}
		m.start(t, r.ID)
	case Queued:
		m.queued[r.ID] = r
	}
	if d.HasDisplaced {
		if displaced := m.dequeue(t, d.Displaced.ID); displaced.Importance < r.Importance {
			t.Fatalf("displaced importance %d in favour of %d", displaced.Importance, r.Importance)
		}
	}
	for _, q := range m.queued {
		if d.Reason == ReasonQueueFull && q.Importance > r.Importance {
			t.Fatalf("refused importance %d while %d is queued", r.Importance, q.Importance)
		}
	}
}

func (m *model) step(t *rapid.T) {
	b := m.c.Next(m.now)
	for _, f := range b.Refuse {
		m.dequeue(t, f.ID)
	}
	for _, id := range b.Start {
		r := m.dequeue(t, id)
		for _, other := range m.queued {
			if other.Importance < r.Importance {
				t.Fatalf("started importance %d before %d", r.Importance, other.Importance)
			}
		}
		m.start(t, id)
	}
}

// Guards against requests that are lost, decided twice, started before more important
// ones or displaced by less important ones, and against more running or queued
// requests than allowed.
func TestControllerProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxQueued := rapid.IntRange(1, 6).Draw(t, "maxQueued")
		m := &model{c: newController(4, Config{MaxQueued: maxQueued}), now: begin, slots: 4,
			queued: map[ID]Request{}, running: map[ID]time.Time{}}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				m.next++
				r := request(m.next, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					rapid.Uint8Range(0, 7).Draw(t, "importance"))
				r.RootHash, r.Depth = rapid.Uint8().Draw(t, "hash"), rapid.Uint8Range(0, 1).Draw(t, "depth")
				r.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				m.offer(t, r)
			},
			"finish": func(t *rapid.T) {
				for n := range m.next + 1 {
					if at, ok := m.running[id(n)]; ok {
						delete(m.running, id(n))
						m.c.Finish(m.now, id(n), m.now.Sub(at), Outcome(rapid.IntRange(1, 4).Draw(t, "outcome")))
						break
					}
				}
				m.step(t)
			},
			"cancel": func(t *rapid.T) {
				i := id(rapid.IntRange(1, m.next+1).Draw(t, "n"))
				_, queued := m.queued[i]
				if (m.c.Cancel(m.now, i) == CancelQueued) != queued {
					t.Fatalf("Cancel of %v; queued in the model: %v", i, queued)
				}
				delete(m.queued, i)
			},
			"wait and announce slots": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
				m.slots = rapid.IntRange(0, 4).Draw(t, "slots")
				m.c.SetSlots(m.now, m.slots)
				m.step(t)
			},
			"": func(t *rapid.T) {
				r, q, s := len(m.running), len(m.queued), m.c.Stats(m.now)
				if s.InFlight != r || q > maxQueued || s.Queued != q || m.c.NextWake().IsZero() != (q == 0) {
					t.Fatalf("the model has %d running and %d queued, NextWake returns %v, stats: %+v", r, q, m.c.NextWake(), s)
				}
			},
		})
	})
}

// Guards against a workspace that delays others by sending more: a workspace below
// its fair share is served within the bound that is documented at the type queue.
func TestFairBoundProperty(t *testing.T) {
	const service = 100 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		names := []string{"a", "b", "c", "d", "e"}[:rapid.IntRange(1, 5).Draw(t, "others")]
		c := newController(slots, Config{MaxWait: time.Hour})
		now, next := begin, 0
		var running []ID // in the order in which they end
		offer := func(workspace string) {
			next++
			r := request(next, workspace, 4)
			r.Deadline, r.ServiceTime = begin.Add(time.Hour), service
			if c.Offer(now, r).Action == Started {
				running = append(running, r.ID)
			}
		}
		for range rapid.IntRange(5, 40).Draw(t, "each") {
			for _, name := range names {
				offer(name)
			}
		}
		sent := rapid.IntRange(0, 8).Draw(t, "rounds")
		for round := 0; ; round++ {
			if round == sent {
				offer("modest")
			}
			if round >= sent && slices.Contains(running, id(next)) {
				return
			}
			if round-sent > len(names)/slots {
				t.Fatalf("not started after %d rounds, %d others, %d slots", round-sent, len(names), slots)
			}
			now = now.Add(service)
			ended := running
			running = nil
			for _, i := range ended {
				c.Finish(now, i, service, Succeeded)
				running = append(running, c.Next(now).Start...)
			}
		}
	})
}
