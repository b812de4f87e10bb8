package catalog

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func route(name, host, prefix string) Route {
	return Route{Name: name, Host: host, PathPrefix: prefix, Shares: []Share{{Service: "s", Weight: 1}}}
}

// The longest matching prefix of the request's host wins, in any order of the routes.
func TestMatch(t *testing.T) {
	g := NewWithT(t)
	c, err := New(Content{Version: 3, Routes: []Route{
		route("short", "a.example", "/x/"), route("long", "A.example", "/x/y/"), route("other", "b.example", "/x/"),
	}})
	g.Expect(err).NotTo(HaveOccurred())
	for request, want := range map[[2]string]string{
		{"a.example", "/x/1"}: "short", {"a.example", "/x/y/1"}: "long", {"a.example:80", "/x/y/"}: "long",
		{"b.example", "/x/y/1"}: "other", {"a.example", "/x"}: "", {"c.example", "/x/1"}: "", {"a.example", "/xx/1"}: "",
	} {
		r, ok := c.Match(request[0], request[1])
		g.Expect(ok).To(Equal(want != ""), "%v", request)
		if ok {
			g.Expect(r.Name).To(Equal(want))
		}
	}
}

// New rejects a version with a route that cannot serve any request.
func TestUnusableRows(t *testing.T) {
	g := NewWithT(t)
	for _, r := range []Route{
		{Name: "no host", PathPrefix: "/", Shares: []Share{{Service: "s"}}},
		{Name: "no path", Host: "h", Shares: []Share{{Service: "s"}}},
		{Name: "no service", Host: "h", PathPrefix: "/"},
		{Name: "share without a service", Host: "h", PathPrefix: "/", Shares: []Share{{Weight: 1}}},
		{Name: "negative weight", Host: "h", PathPrefix: "/", Shares: []Share{{Service: "s", Weight: -1}}},
	} {
		_, err := New(Content{Routes: []Route{r}})
		g.Expect(err).To(HaveOccurred(), r.Name)
	}
}

// Keys are looked up by digest, and the plain keys are dropped.
func TestKeys(t *testing.T) {
	g := NewWithT(t)
	content := Content{Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}}}
	c, err := New(content)
	g.Expect(err).NotTo(HaveOccurred())
	for key, known := range map[string]bool{"k1": true, "k2": true, "": false, "k": false} {
		_, ok := c.WorkspaceOfKey(key)
		g.Expect(ok).To(Equal(known), key)
	}
	w, _ := c.Workspace("w")
	g.Expect(w.Keys).To(BeEmpty())
	g.Expect(c.RequiresKeys()).To(BeTrue())
}

// Weights become fractions that add up to 1; zero weights become equal fractions.
func TestShares(t *testing.T) {
	g := NewWithT(t)
	split := func(weights ...int) Route {
		r := Route{Name: "r", Host: "h", PathPrefix: "/"}
		for i, w := range weights {
			r.Shares = append(r.Shares, Share{Service: string(rune('a' + i)), Weight: w})
		}
		return r
	}
	for _, c := range []struct {
		weights []int
		parts   []float64
	}{{[]int{75, 25}, []float64{0.75, 0.25}}, {[]int{0, 0}, []float64{0.5, 0.5}}, {[]int{1}, []float64{1}}} {
		indexed, err := New(Content{Routes: []Route{split(c.weights...)}})
		g.Expect(err).NotTo(HaveOccurred())
		for i, share := range indexed.TrafficSplit("r") {
			g.Expect(share.Fraction).To(Equal(c.parts[i]))
		}
	}
}

// Guards against a limit for cold servers that is lost on the way to another daemon, and
// against a snapshot of an earlier release, without the field, that cannot be used.
func TestSnapshotCarriesWarmUps(t *testing.T) {
	g := NewWithT(t)
	for _, limit := range []WarmUp{{Service: "s", Time: 3 * time.Second, Rate: 16, HealthPath: "/health"}, {}} {
		content := Content{Version: 3, WarmUps: []WarmUp{limit}[:len(limit.Service)]}
		snapshot, err := content.Snapshot()
		g.Expect(err).NotTo(HaveOccurred())
		decoded, err := DecodeSnapshot(snapshot)
		g.Expect(err).NotTo(HaveOccurred())
		c, err := New(*decoded)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.WarmUp("s")).To(Equal(limit))
	}
}
