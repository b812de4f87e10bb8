package slopes

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/process/membership"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

func TestSlopes(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "slopes")
}

var _ = ginkgo.Describe("slopes", func() {
	// Guards against figures of a membership that never converges, which would look
	// cheap.
	ginkgo.It("converges in the virtual network after joins, restarts and a partition", func() {
		n := &network{now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(1, 1)), cores: make([]*membership.Core, 20)}
		for i := range n.cores {
			gomega.Expect(n.startMember(i)).To(gomega.Succeed())
		}
		gomega.Expect(n.advance(convergenceLimit, n.converged)).To(gomega.BeNumerically("<", time.Minute))
		gomega.Expect(n.startMember(3)).To(gomega.Succeed())
		gomega.Expect(n.updatePropagated(3)).To(gomega.BeFalse())
		gomega.Expect(n.advance(convergenceLimit, func() bool { return n.converged() && n.updatePropagated(3) })).To(gomega.BeNumerically("<", time.Minute))
		n.split = 10
		gomega.Expect(n.converged()).To(gomega.BeFalse())
		gomega.Expect(n.advance(convergenceLimit, n.converged)).To(gomega.BeNumerically("<", time.Minute))
		gomega.Expect(n.cores[0].View().Alive).To(gomega.Equal(2))
	})

	// Guards against generated tables with fewer rows than the figures state.
	ginkgo.It("generates tables with the given numbers of rows", func() {
		t, err := tables.Parse(generateTables(390, 100, 1100))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(t.RowCount()).To(gomega.Equal(130 + 390 + 2*100 + 1100))
	})

	// Guards against a misspelt name in --only that measures nothing and succeeds.
	ginkgo.It("rejects an unknown name in --only", func() {
		command, out := Command(), &bytes.Buffer{}
		command.SetArgs([]string{"--only", "link"})
		command.SetOut(out)
		command.SetErr(out)
		gomega.Expect(command.Execute()).To(gomega.MatchError(gomega.ContainSubstring("choose from membership")))
	})
})
