package agent

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/rateshare"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/runqueue"
)

// The refusal of a call by a queue reaches the answer of the run that made the call, and so the
// entry. Guards against counting other refusals, and against lists in the answers of a
// deployment that has not enabled them.
func TestQueueRefusalsTravelUpTheCallTree(t *testing.T) {
	for _, feedback := range []bool{true, false} {
		for reason, counts := range map[runqueue.Reason]bool{runqueue.ReasonQueueFull: true, runqueue.ReasonDeadlineTooClose: true, runqueue.ReasonNoSlots: false} {
			g := NewWithT(t)
			answers := make(answersOf, 1)
			e := newExecutor(dottedIDs{noHeaders{}}, newServerState(heartbeatInterval, ownAddress), nil, nil, newRequestLog(noHeaders{}.Stamp))
			e.feedback = feedback
			id := wire.AttemptID{1}
			e.runs[id] = &run{attempt: &wire.Attempt{ID: id, Pool: "deep"}, receiver: answers}
			e.updateQueue(func(*[]outgoingAnswer) runqueue.Actions {
				return runqueue.Actions{Refuse: []runqueue.Refusal{{ID: id, Reason: reason}}}
			})
			refused := <-answers
			var outcome callOutcome
			outcome.add(&attemptResult{answer: refused, refusal: problem.New(problem.Kind(refused.Refusal.Kind), "")})

			parent := &run{attempt: &wire.Attempt{ID: wire.AttemptID{2}, RequestID: "root", Pool: "middle"}, receiver: answers}
			e.runs[parent.attempt.ID], e.startedByRequest["root"] = parent, parent
			e.recordRefused("root.1", outcome.refusedBy())
			e.recordRefused("root.2", outcome.refusedBy())
			e.recordRefused("other.1", []string{"other"})
			e.finish(parent, nil, errors.New("the server gave up"))
			want := []string(nil)
			if feedback && counts {
				want = []string{"deep"}
			}
			g.Expect((<-answers).RefusedBy).To(Equal(want), "%v %s", feedback, reason)
		}
	}
}

// Guards against counting attempts that were refused by one queue and then ran elsewhere, and
// against losing the refusals further down when a run is repeated.
func TestOnlyFinalRefusalsCount(t *testing.T) {
	refused := attemptResult{refusal: problem.New(problem.KindOverloaded, "queue-full"), answer: &wire.Answer{RefusedBy: []string{"own"}}}
	unreachable := attemptResult{refusal: problem.New(problem.KindNoUpstream, "no link"), answer: &wire.Answer{}}
	lost := attemptResult{refusal: problem.Unknown(problem.KindUpstreamFailed, "link ended")}
	failed := attemptResult{response: &wire.Response{Status: 500}, answer: &wire.Answer{Reached: true, RefusedBy: []string{"deep"}}}
	answered := attemptResult{response: &wire.Response{Status: 200}, answer: &wire.Answer{Reached: true}}
	for name, c := range map[string]struct {
		results []attemptResult
		want    []string
	}{
		"refused":                          {[]attemptResult{refused, refused}, []string{"own"}},
		"refused, then run":                {[]attemptResult{refused, answered}, nil},
		"refused, then unreachable":        {[]attemptResult{refused, unreachable}, nil},
		"lost, then refused":               {[]attemptResult{lost, refused}, nil},
		"a call refused":                   {[]attemptResult{failed}, []string{"deep"}},
		"a call refused, repeated":         {[]attemptResult{failed, answered}, []string{"deep"}},
		"a call refused, then the attempt": {[]attemptResult{failed, refused}, []string{"deep"}},
	} {
		var o callOutcome
		for i := range c.results {
			o.add(&c.results[i])
		}
		NewWithT(t).Expect(o.refusedBy()).To(Equal(c.want), name)
	}
}

// A request has to be admitted by the plan and by the throttle. Guards against a throttle in a
// deployment that has not enabled it.
func TestEntryRefusesWhatQueuesRefuse(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		g := NewWithT(t)
		f := newFleet("m", "z", 1, rateshare.Tolerance{})
		if enabled {
			f.enableFeedback(nil)
		}
		now, details := time.Now(), map[string]int{}
		for range 200 {
			now = now.Add(20 * time.Millisecond)
			if ok, detail := f.admit(now, "order", 9); ok {
				f.treeEnded(now, "order", []string{"deep"})
			} else {
				details[detail]++
			}
		}
		if !enabled {
			g.Expect(details).To(BeEmpty())
			continue
		}
		g.Expect(details).To(HaveLen(1))
		g.Expect(details).To(HaveKeyWithValue("service deep refuses calls of such requests for lack of room", BeNumerically(">", 100)))
	}
}
