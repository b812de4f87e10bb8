package admission_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	. "tarragonshore.example/tarragonshore/internal/request/admission"
)

// model holds what a Controller was told and what it decided.
type model struct {
	c       *Controller
	now     time.Time
	next    int
	queued  map[ID]Request
	running map[ID]time.Time
}

func (m *model) refused(t *rapid.T, id ID) {
	if _, ok := m.queued[id]; !ok {
		t.Fatalf("refused %v, which is not queued", id)
	}
	delete(m.queued, id)
}

func (m *model) offer(t *rapid.T, r Request, maxQueued int) {
	d := m.c.Offer(m.now, r)
	switch d.Action {
	case Started:
		if len(m.queued) > 0 {
			t.Fatalf("started before %d queued requests", len(m.queued))
		}
		m.running[r.ID] = m.now
	case Queued:
		m.queued[r.ID] = r
	}
	if d.HasDisplaced {
		if v := m.queued[d.Displaced.ID]; v.Importance < r.Importance {
			t.Fatalf("importance %d displaced for %d", v.Importance, r.Importance)
		}
		m.refused(t, d.Displaced.ID)
	}
	if d.Reason == ReasonQueueFull {
		for _, q := range m.queued {
			if q.Importance > r.Importance {
				t.Fatalf("refused importance %d while %d is queued", r.Importance, q.Importance)
			}
		}
	}
	if len(m.queued) > maxQueued {
		t.Fatalf("%d queued", len(m.queued))
	}
}

func (m *model) step(t *rapid.T) {
	b := m.c.Next(m.now)
	for _, f := range b.Refuse {
		m.refused(t, f.ID)
	}
	for _, id := range b.Start {
		r, ok := m.queued[id]
		if !ok {
			t.Fatalf("started %v, which is not queued", id)
		}
		delete(m.queued, id)
		for _, other := range m.queued {
			if other.Importance < r.Importance {
				t.Fatalf("started importance %d before %d", r.Importance, other.Importance)
			}
		}
		m.running[id] = m.now
	}
}

// Guards against requests that are lost, decided twice, run out of order of
// importance, or displaced for less important ones, and against more requests
// in service or in the queue than allowed.
func TestControllerProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		maxQueued := rapid.IntRange(1, 6).Draw(t, "maxQueued")
		m := &model{c: newController(slots, Config{MaxQueued: maxQueued}), now: begin,
			queued: map[ID]Request{}, running: map[ID]time.Time{}}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				m.next++
				r := request(m.next, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					rapid.Uint8Range(0, 7).Draw(t, "importance"))
				r.RootHash = rapid.Uint8().Draw(t, "hash")
				r.Depth = rapid.Uint8Range(0, 1).Draw(t, "depth")
				r.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				m.offer(t, r, maxQueued)
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
					t.Fatalf("cancel of %v, queued: %v", i, queued)
				}
				delete(m.queued, i)
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
				m.step(t)
			},
			"": func(t *rapid.T) {
				if len(m.running) > slots || m.c.InFlight() != len(m.running) || m.c.QueueLen() != len(m.queued) {
					t.Fatalf("%d running (%d), %d queued (%d)", len(m.running), m.c.InFlight(), len(m.queued), m.c.QueueLen())
				}
				if wake := m.c.NextWake(); len(m.queued) > 0 && wake.IsZero() {
					t.Fatalf("%d queued and no wake-up", len(m.queued))
				}
			},
		})
	})
}
