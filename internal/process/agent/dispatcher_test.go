package agent

import (
	"testing"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/rateshare"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// A refusal says "not executed" only if no attempt can have run. The response of a
// backend server is delivered even if a later attempt was refused. Guards against a failure
// that is reported as a missed deadline (504) before the deadline, since a later attempt was
// refused for lack of time.
func TestCallOutcomeCoversAllAttempts(t *testing.T) {
	lost := attemptResult{refusal: problem.Unknown(problem.KindUpstreamFailed, "link ended")}
	refused := attemptResult{refusal: problem.New(problem.KindOverloaded, "queue-full")}
	late := attemptResult{refusal: problem.New(problem.KindDeadline, "not-enough-time")}
	failed := attemptResult{response: &wire.Response{Status: 500}}
	answered := attemptResult{response: &wire.Response{Status: 200}}
	for name, c := range map[string]struct {
		results  []attemptResult
		status   int // 0: the caller gets a refusal
		executed problem.Executed
	}{
		"no attempt":                    {nil, 0, problem.ExecutedNo},
		"refused":                       {[]attemptResult{refused, refused}, 0, problem.ExecutedNo},
		"lost, then refused":            {[]attemptResult{lost, refused}, 0, problem.ExecutedUnknown},
		"lost, then too late":           {[]attemptResult{lost, late}, 0, problem.ExecutedUnknown},
		"refused, then lost":            {[]attemptResult{refused, lost}, 0, problem.ExecutedUnknown},
		"failed at a server, refused":   {[]attemptResult{failed, refused}, 500, ""},
		"failed at a server, then lost": {[]attemptResult{failed, lost}, 500, ""},
		"refused, then answered":        {[]attemptResult{refused, answered}, 200, ""},
		"failed at a server, answered":  {[]attemptResult{failed, answered}, 200, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var o callOutcome
			for i := range c.results {
				o.add(&c.results[i])
			}
			response, refusal := o.finalAnswer("")
			if c.status != 0 {
				g.Expect(response.Status).To(Equal(c.status))
				return
			}
			g.Expect(refusal.Executed).To(Equal(c.executed))
			if c.executed == problem.ExecutedUnknown {
				g.Expect(refusal.Kind).To(Equal(problem.KindUpstreamFailed))
			}
		})
	}
}

// With a limit of 0 nothing is retried; with a positive one some calls are.
func TestRetryLimitEnablesRetries(t *testing.T) {
	for limit, retries := range map[float64]bool{0: false, 0.2: true} {
		g := NewWithT(t)
		d := newDispatcher(newFleet("m", "z", 1, rateshare.Tolerance{}), nil, limit, nil, nil)
		c := &call{service: "ledger", workspace: "arima"}
		for range 100 {
			d.countFirstAttempt(c)
		}
		g.Expect(d.takeRetry(c)).To(Equal(retries))
		g.Expect(d.takeRetry(&call{service: "ledger"})).To(BeFalse(), "calls made by backend servers have a separate budget")
	}
}

// Guards against a daemon that crashes, or reports "not executed", because a peer's answer
// has neither a response nor a refusal, or a status that is none.
func TestInvalidAnswersAreFailures(t *testing.T) {
	for _, response := range []*wire.Response{nil, {Status: 0}, {Status: 199}, {Status: 600}, {Status: 999}} {
		expectFailure(NewWithT(t), response)
	}
}

func expectFailure(g *WithT, response *wire.Response) {
	d := newDispatcher(newFleet("m", "z", 1, rateshare.Tolerance{}), nil, 0, nil, newRequestLog(noHeaders{}.Stamp))
	p := &pendingAttempt{done: make(chan attemptResult, 1)}
	id := d.newAttemptID()
	d.addPending(id, p)
	d.deliver(&wire.Answer{ID: id, Response: response})
	result := <-p.done
	d.log.logAttempt(&call{}, "s", memberAddress{}, &result, "")
	var o callOutcome
	o.add(&result)
	final, refusal := o.finalAnswer("")
	g.Expect(final).To(BeNil())
	g.Expect(refusal.Executed).To(Equal(problem.ExecutedUnknown))
}
