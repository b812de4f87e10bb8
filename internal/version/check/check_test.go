package check

import (
	"testing"

	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/version/catalog"
)

// Guards against a comparison that fails on names that occur twice, which are findings and
// have to be shown, and against a difference between equal versions.
func TestCompareWithRepeatedNames(t *testing.T) {
	g := NewWithT(t)
	workspaces := func(number catalog.Version, list ...catalog.Workspace) *Configuration {
		return &Configuration{Content: catalog.Content{Version: number, Workspaces: list}}
	}
	twice := workspaces(2, catalog.Workspace{Name: "a", Keys: []string{"1"}}, catalog.Workspace{Name: "a", Keys: []string{"2"}}, catalog.Workspace{Name: ""})
	differences, findings := Compare(twice, twice)
	g.Expect(differences).To(BeEmpty())
	g.Expect(findings).To(HaveLen(1), "the version is not greater")
	differences, findings = Compare(workspaces(1, catalog.Workspace{Name: "b", Keys: []string{"1"}}), twice)
	g.Expect(findings).To(BeEmpty())
	g.Expect(differences).To(HaveLen(3))
	g.Expect([]Change{differences[0].Change, differences[1].Change, differences[2].Change}).To(Equal([]Change{Added, Added, Removed}))
	g.Expect(differences[0].Fields).To(Equal([]FieldChange{{Field: FieldKeys, From: "0", To: "1 (1 added, 0 removed)"}}))
}
