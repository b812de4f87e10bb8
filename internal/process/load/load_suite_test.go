package load

import (
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
		// Guards against slow first calls or fast refusals in the percentiles.
		p := pathLatency("local", []Outcome{
			outcome(phaseWarmUp, time.Second, true),
			outcome(phaseMeasured, 2*time.Millisecond, true),
			outcome(phaseMeasured, time.Microsecond, false),
		})
		Expect(p.Requests).To(Equal(2))
		Expect(p.Good).To(Equal(1))
		Expect(p.P50MS).To(BeNumerically("~", 2, 0.01))
		Expect(p.P99MS).To(BeNumerically("~", 2, 0.01))
	})

	ginkgo.It("counts what is added from the direct path", func() {
		// Guards against a difference with the wrong sign or the wrong path.
		r := LatencyReport{Paths: []PathLatency{{P50MS: 1, P99MS: 2}, {P50MS: 1.5, P99MS: 4}}}
		r.compareWithFirst()
		Expect(r.Paths[0].AddedP99MS).To(BeZero())
		Expect(r.Paths[1].AddedP50MS).To(Equal(0.5))
		Expect(r.Paths[1].AddedP99MS).To(Equal(2.0))
	})
})
