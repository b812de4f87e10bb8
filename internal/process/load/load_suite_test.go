package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "load")
}

var _ = ginkgo.Describe("latency of a path", func() {
	outcome := func(phase int, latency time.Duration, good bool) Outcome {
		return Outcome{Arrival: Arrival{Phase: phase}, Latency: latency, Good: good}
	}

	ginkgo.It("leaves out the warm-up and calls that failed", func() {
		// Guards against percentiles that include slow first calls or fast refusals.
		p := summarizePath("local", []Outcome{
			outcome(phaseWarmUp, time.Second, true),
			outcome(phaseMeasured, 2*time.Millisecond, true),
			outcome(phaseMeasured, time.Microsecond, false),
		})
		Expect(p.Requests).To(Equal(2))
		Expect(p.Good).To(Equal(1))
		Expect(p.P50MS).To(BeNumerically("~", 2, 0.01))
		Expect(p.P99MS).To(BeNumerically("~", 2, 0.01))
	})

	ginkgo.It("computes the added latency against the direct path", func() {
		// Guards against a difference with the wrong sign or from the wrong path.
		r := LatencyReport{Paths: []PathLatency{{P50MS: 1, P99MS: 2}, {P50MS: 1.5, P99MS: 4}}}
		r.computeAdded()
		Expect(r.Paths[0].AddedP99MS).To(BeZero())
		Expect(r.Paths[1].AddedP50MS).To(Equal(0.5))
		Expect(r.Paths[1].AddedP99MS).To(Equal(2.0))
	})
})

var _ = ginkgo.Describe("a report", func() {
	scenario := &Scenario{
		Workspaces: []WorkspaceSpec{{Name: "w"}},
		Phases: []Phase{
			{Name: "calm", Duration: 2 * time.Second},
			{Name: "below", Duration: 2 * time.Second, Peak: true},
			{Name: "above", Duration: 2 * time.Second, Peak: true},
			{Name: "surge", Duration: 2 * time.Second},
		},
	}
	// outcomes returns failed and then good requests, spread evenly over each phase.
	outcomes := func(good, failed []int) []Outcome {
		var list []Outcome
		for phase := range scenario.Phases {
			n := good[phase] + failed[phase]
			for i := range n {
				at := time.Duration(phase)*2*time.Second + 2*time.Second*time.Duration(i)/time.Duration(n)
				list = append(list, Outcome{Arrival: Arrival{At: at, Phase: phase}, Good: i >= failed[phase]})
			}
		}
		return list
	}

	ginkgo.It("compares each phase with the best of the peak phases", func() {
		// Guards against a peak from a phase that is no peak phase, such as the surge.
		r := NewReport(scenario, "x", 1, outcomes([]int{50, 80, 100, 120}, []int{0, 0, 0, 0}))
		Expect(r.Peak).To(Equal(50.0))
		Expect(r.Phases[1].ShareOfPeak).To(Equal(0.8))
		Expect(r.Phases[3].ShareOfPeak).To(Equal(1.2))
	})

	ginkgo.It("counts responses in the phase in which they arrive", func() {
		// Guards against a peak above the capacity, from queued requests that are served
		// after the phase.
		late := outcomes([]int{0, 0, 100, 0}, []int{0, 0, 0, 0})
		for i := range late {
			late[i].Latency = time.Second
		}
		r := NewReport(scenario, "x", 1, late)
		Expect(r.Phases[2].Goodput).To(Equal(50.0))
		Expect(r.Phases[2].Served).To(Equal(25.0))
		Expect(r.Phases[3].Served).To(Equal(25.0))
		Expect(r.Peak).To(Equal(25.0))
	})

	ginkgo.It("counts recovery from the start of the phase after the trigger", func() {
		// Guards against failures in the trigger's phase being counted as recovery time.
		r := NewReport(scenario, "x", 1, outcomes([]int{100, 0, 90, 0}, []int{0, 100, 10, 100}))
		Expect(formatRecovery(r.Phases[1])).To(Equal(">2.0s"))
		Expect(formatRecovery(r.Phases[2])).To(Equal("0.2s"))
	})
})

var _ = ginkgo.Describe("a phase without goodput", func() {
	ginkgo.It("can be written as JSON", func() {
		// Guards against an infinite worst share, which JSON cannot represent.
		s := &Scenario{Workspaces: []WorkspaceSpec{{Name: "w"}}, Phases: []Phase{{Duration: time.Second}}}
		r := NewReport(s, "x", 1, []Outcome{{Entitled: 1}})
		_, err := json.Marshal(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Phases[0].WorstShare).To(BeZero())
	})
})

var _ = ginkgo.Describe("a caller", func() {
	ginkgo.It("retries a try that timed out, until the deadline", func() {
		// Guards against a load without retries of slow requests, which does not amplify
		// an overload.
		var tries atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			tries.Add(1)
			<-r.Context().Done()
		}))
		defer server.Close()
		s := &Scenario{
			Deadline: 500 * time.Millisecond, TryTimeout: 50 * time.Millisecond, RequestLine: "GET /x",
			Workspaces: []WorkspaceSpec{{Name: "w"}}, Phases: []Phase{{Retries: 2}},
		}
		driver := NewDriver(s, Target{Addresses: []string{server.Listener.Addr().String()}, Keys: []string{""}}, "run")
		outcomes := driver.Run(context.Background(), []Arrival{{}}, func(int) {})
		Expect(outcomes[0].Good).To(BeFalse())
		Expect(outcomes[0].Tries).To(Equal(3))
		Expect(tries.Load()).To(Equal(int32(3)))
	})
})

var _ = ginkgo.Describe("the systems to compare", func() {
	ginkgo.It("refuses an unknown system and a directory without a daemon", func() {
		// Guards against a misspelt system name that runs without overload control.
		_, err := options{systems: []string{"static"}}.allSystems()
		Expect(err).To(HaveOccurred())
		_, err = options{previous: ginkgo.GinkgoT().TempDir()}.allSystems()
		Expect(err).To(MatchError(ContainSubstring("--previous")))
	})
})
