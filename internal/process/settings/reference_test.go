package settings

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the operators' page", func() {
	page := func() string {
		text, err := os.ReadFile("../../../docs/OPERATIONS.md")
		Expect(err).NotTo(HaveOccurred())
		return string(text)
	}

	// Guards against a page whose tables of settings are out of date.
	DescribeTable("shows the settings as they are declared", func(mark string, reference func() string) {
		_, rest, found := strings.Cut(page(), "<!-- "+mark+": begin -->\n")
		Expect(found).To(BeTrue())
		shown, _, found := strings.Cut(rest, "<!-- "+mark+": end -->")
		Expect(found).To(BeTrue())
		Expect(shown).To(Equal(reference()), "run scripts/render-settings")
	},
		Entry("of tarragond", "settings", DaemonReference),
		Entry("of tarragon-agent", "agent-settings", AgentReference),
	)

	// Guards against a setting of tarragonctl that the page omits or shows with another
	// environment variable.
	It("describes each setting of tarragonctl", func() {
		for _, s := range tarragonctlSet(&Tarragonctl{}).Settings {
			Expect(page()).To(MatchRegexp(`\| %s \| `+"`%s`"+` \| .* \| .* \| `+"`%s`"+` \|\n`, s.Section, s.Key, s.Variable()))
		}
	})
})
