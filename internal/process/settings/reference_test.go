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

	// Guards against a settings reference that is out of date.
	It("shows the settings of tarragond as they are declared", func() {
		_, rest, found := strings.Cut(page(), "<!-- settings: begin -->\n")
		Expect(found).To(BeTrue())
		shown, _, found := strings.Cut(rest, "<!-- settings: end -->")
		Expect(found).To(BeTrue())
		Expect(shown).To(Equal(DaemonReference()), "run scripts/render-settings")
	})

	// Guards against a setting of tarragonctl that the page lacks or describes otherwise.
	It("describes each setting of tarragonctl", func() {
		for _, s := range controlSet(&Control{}).Settings {
			Expect(page()).To(MatchRegexp(`\| %s \| `+"`%s`"+` \| .* \| .* \| `+"`%s`"+` \|\n`, s.Section, s.Key, s.Variable()))
		}
	})
})
