package tables

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	// RAPID_SEED or the command line overrides the default seed.
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("RAPID_SEED"), "20260101")); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestTables(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tables")
}

var digestA = DigestKey("a").String()

var validRoutes = `
[route shop]
path = /shop
pool = shop
importance = 1
timeout = 2s
workspaces = beta, alpha
idempotent = true
[route order]
path = /shop/orders
methods = POST, PUT
pool = shop
max_body = 2MiB
[route order-any]
path = /shop/orders
pool = shop
[route home]
path = /
pool = shop
idempotent = true
open = true
[key ` + digestA + `]
workspace = alpha
`

const validPools = `
[pool shop]
retry_ratio = 0.2
[workspace alpha]
rate = 10.5
burst = 20 ; comment
[workspace beta]
rate = 1
burst = 1
[server shop-1]
drain = true
`

func mustParse(routes, pools string) *Tables {
	t, err := Parse([]byte(routes), []byte(pools))
	if err != nil {
		panic(err)
	}
	return t
}

var _ = Describe("Parse", func() {
	It("fills in defaults and reads every setting", func() {
		t := mustParse(validRoutes, validPools)
		r, ok := t.Route("order")
		Expect(ok).To(BeTrue())
		Expect(*r).To(Equal(Route{Name: "order", PathPrefix: "/shop/orders", Methods: []string{"POST", "PUT"}, Pool: "shop",
			Importance: 3, Timeout: DefaultTimeout, AttemptCredits: 2, MaxBodyBytes: 2 << 20}))
		w, _ := t.Workspace("alpha")
		Expect(*w).To(Equal(Workspace{"alpha", 10.5, 20}))
		p, _ := t.Pool("shop")
		Expect(*p).To(Equal(Pool{"shop", DefaultWarmUp, 0.2}))
		s, _ := t.Server("shop-1")
		Expect(s.Drain).To(BeTrue())
		name, ok := t.WorkspaceOfKey(DigestKey("a"))
		Expect(name).To(Equal("alpha"))
		Expect(ok).To(BeTrue())
		_, ok = t.WorkspaceOfKey(DigestKey("b"))
		Expect(ok).To(BeFalse())
	})

	It("reads its canonical form back to the same digest", func() {
		t := mustParse(validRoutes, validPools)
		routes, pools := t.Format()
		again, err := Parse(routes, pools)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Digest()).To(Equal(t.Digest()))
	})

	// Guards against errors that are accepted, reported without section and key, or
	// that hide later errors.
	DescribeTable("reports all faults with section, key and value", func(routes, pools string, want ...string) {
		_, err := Parse([]byte(routes), []byte(pools))
		var errs Errors
		Expect(errors.As(err, &errs)).To(BeTrue(), "%v", err)
		got := []string{}
		for _, f := range errs {
			Expect(f.Remedy).NotTo(BeEmpty())
			got = append(got, strings.Join([]string{string(f.Reason), f.Section, f.Key, f.Value}, "|"))
		}
		Expect(got).To(ConsistOf(want))
	},
		Entry("unknown sections in either table", "[pool x]\n[route]\n[rout a]", "[key x]\nq = 1",
			"unknown-section|pool x||", "unknown-section|route||", "unknown-section|rout a||", "unknown-section|key (1 characters)||"),
		Entry("settings before the first section", "path = /", "", "unknown-section|DEFAULT||"),
		Entry("a syntax fault in one table and another fault in the other table", "[route", "[pool Ä]", "syntax|||unclosed section: [route", "bad-name|pool Ä||Ä"),
		Entry("unknown and duplicate settings", "", "[pool a]\nwarmup = 1s\nretry_ratio = 0\nretry_ratio = 0",
			"unknown-key|pool a|warmup|1s", "duplicate-key|pool a|retry_ratio|0 | 0"),
		Entry("duplicate sections", "", "[pool a]\n[pool  a]", "duplicate-section|pool a||"),
		Entry("missing settings", "[route a]\n[key "+digestA+"]", "[workspace w]",
			"missing-key|route a|path|", "missing-key|route a|pool|", "missing-key|key "+digestA+"|workspace|",
			"missing-key|workspace w|rate|", "missing-key|workspace w|burst|"),
		Entry("references to rows that do not exist", "[route a]\npath=/a\npool=p\nworkspaces=w,v\n[key "+digestA+"]\nworkspace=u", "",
			"dangling-reference|route a|pool|p", "dangling-reference|route a|workspaces|v", "dangling-reference|route a|workspaces|w",
			"dangling-reference|key "+digestA+"|workspace|u"),
		Entry("a key in place of its digest, which is redacted", "[key secret]\nworkspace=w", "[workspace w]\nrate=1\nburst=1", "bad-name|key (6 characters)||"),
		Entry("values that do not parse", "[route a]\npath=/\npool=p\nidempotent=yes\nimportance=8\ntimeout=5\ncredits=-1\nmax_body=8MiB",
			"[pool p]\n[server s]\ndrain=1",
			"bad-value|route a|idempotent|yes", "bad-value|route a|importance|8", "bad-value|route a|timeout|5",
			"bad-value|route a|credits|-1", "bad-value|route a|max_body|8MiB", "bad-value|server s|drain|1"),
		Entry("an open route that is not idempotent", "[route a]\npath=/\npool=p\nopen=true", "[pool p]", "bad-value|route a|open|true"),
		Entry("values out of bounds", "[route a]\npath=/\npool=p\ntimeout=11m\nmethods=get,PUT,PUT\nopen=true\nidempotent=true\nworkspaces=w",
			"[pool p]\nretry_ratio=NaN\nwarm_up=-1s\n[workspace w]\nrate=0\nburst=1\n[workspace v]\nrate=1\nburst=0\n[workspace x]\nrate=inf\nburst=1",
			"bad-value|route a|timeout|11m0s", "bad-value|route a|methods|PUT", "bad-value|route a|methods|get", "bad-value|route a|workspaces|w",
			"bad-value|pool p|retry_ratio|NaN", "bad-value|pool p|warm_up|-1s",
			"bad-value|workspace w|rate|0", "bad-value|workspace v|burst|0", "bad-value|workspace x|rate|+Inf"),
		Entry("ambiguous routes", "[route a]\npath=/x\npool=p\nmethods=GET,PUT\n[route b]\npath=/x\npool=p\nmethods=PUT\n[route c]\npath=/x\npool=p", "[pool p]",
			"ambiguous-route|route b|path|PUT /x"),
	)

	DescribeTable("refuses invalid path prefixes", func(path string) {
		_, err := Parse([]byte("[route a]\npool=p\npath="+path), []byte("[pool p]"))
		Expect(err).To(MatchError(ContainSubstring("key path")))
	}, Entry(nil, "a"), Entry(nil, "/a/"), Entry(nil, "//a"), Entry(nil, "/a/../b"), Entry(nil, "/a#b"), Entry(nil, "/a b"),
		Entry(nil, "/%41"), Entry(nil, "/.well-known/tarragonshore/x"), Entry(nil, "/"+strings.Repeat("x", MaxPathBytes)))

	It("refuses more than MaxRows rows", func() {
		var b strings.Builder
		for i := range MaxRows + 1 {
			fmt.Fprintf(&b, "[server s%d]\n", i)
		}
		_, err := Parse(nil, []byte(b.String()))
		Expect(err).To(MatchError(ContainSubstring("too-large")))
	})
})

var _ = Describe("Match", func() {
	// Guards against a request that passes the check of one route with a path that
	// the backend server resolves to the path of another, protected route.
	DescribeTable("finds the longest prefix in whole segments", func(method, path, want string) {
		r, ok := mustParse(validRoutes, validPools).Match(method, path)
		Expect(ok).To(Equal(want != ""))
		if ok {
			Expect(r.Name).To(Equal(want))
		}
	},
		Entry(nil, "GET", "/", "home"), Entry(nil, "GET", "/shopping", "home"), Entry(nil, "GET", "/shop", "shop"),
		Entry(nil, "GET", "/shop/", "shop"), Entry(nil, "GET", "/shop/a/b", "shop"), Entry(nil, "POST", "/shop/orders/1", "order"),
		Entry(nil, "GET", "/shop/orders", "order-any"), Entry(nil, "GET", "/shop/ordersx", "shop"),
		Entry(nil, "GET", "/x/../shop", ""), Entry(nil, "GET", "/x/..;a=b/shop", ""), Entry(nil, "GET", "/x//shop", ""),
		Entry(nil, "GET", "//shop", ""), Entry(nil, "GET", `/x\..\shop`, ""), Entry(nil, "GET", "/x/.", ""), Entry(nil, "GET", "shop", ""),
		Entry(nil, "GET", "", ""), Entry(nil, "GET", "/a\x00", ""))

	It("allows the workspaces that the route lists", func() {
		t := mustParse(validRoutes, validPools)
		allowed := func(route, workspace string) bool {
			r, _ := t.Route(route)
			return t.Allowed(r, workspace)
		}
		Expect(allowed("home", "")).To(BeTrue())
		Expect(allowed("shop", "")).To(BeFalse())
		Expect(allowed("shop", "gamma")).To(BeFalse())
		Expect(allowed("shop", "alpha")).To(BeTrue())
		Expect(allowed("order", "gamma")).To(BeTrue())
	})

	It("does not allocate", func() {
		t := mustParse(validRoutes, validPools)
		digest := DigestKey("a")
		Expect(testing.AllocsPerRun(100, func() {
			t.Match("POST", "/shop/orders/1/items")
			t.WorkspaceOfKey(digest)
		})).To(BeZero())
	})
})

// drawTables draws random valid tables.
func drawTables(t *rapid.T) *Tables {
	var routes, pools strings.Builder
	n := rapid.IntRange(1, 4)
	workspaces := n.Draw(t, "workspaces")
	for i := range workspaces {
		fmt.Fprintf(&pools, "[workspace w%d]\nrate = %g\nburst = %d\n", i, rapid.Float64Range(0.1, 9).Draw(t, "rate"), n.Draw(t, "burst"))
		if rapid.Bool().Draw(t, "key") {
			fmt.Fprintf(&routes, "[key %s]\nworkspace = w%d\n", DigestKey(fmt.Sprint(n.Draw(t, "key"), i)), i)
		}
	}
	for i := range n.Draw(t, "pools") {
		fmt.Fprintf(&pools, "[pool p%d]\n[server s%d]\ndrain = %t\n", i, n.Draw(t, "server")*10+i, rapid.Bool().Draw(t, "drain"))
		fmt.Fprintf(&routes, "[route r%d]\npath = /r%d\npool = p%d\ncredits = %d\nworkspaces = w%d\n", i, i, i, n.Draw(t, "credits"), workspaces-1)
	}
	return mustParse(routes.String(), pools.String())
}

var _ = Describe("changes", func() {
	// Guards against an edit whose result depends on the process that computes it.
	It("turn one state into the other and back", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			a, b := drawTables(rt), drawTables(rt)
			changes := Diff(a, b)
			got, err := a.Apply(changes)
			if err != nil || got.Digest() != b.Digest() {
				rt.Fatalf("Apply(Diff(a, b)) is not b: %v", err)
			}
			back, err := got.Apply(a.Inverse(changes))
			if err != nil || back.Digest() != a.Digest() || len(Diff(back, a)) != 0 {
				rt.Fatalf("the inverse does not lead back: %v", err)
			}
		})
	})

	// Guards against an edit that invalidates a row of a kind that it does not change,
	// such as a route whose pool it removes.
	It("are accepted exactly if all rows of the result pass the checks", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			t := drawTables(rt)
			var changes []Change
			removed := map[RowRef]bool{}
			for _, row := range Diff(Empty(), t) {
				if ref, _ := row.Ref(); rapid.IntRange(0, 3).Draw(rt, "remove") == 0 {
					changes = append(changes, Change{Remove: &ref})
					removed[ref] = true
				}
			}
			_, err := t.Apply(changes)
			if _, want := build(t.rows.withChanges(changes, removed, allKinds), nil, nil); (err == nil) != (want == nil) {
				rt.Fatalf("Apply: %v; check of all rows: %v", err, want)
			}
		})
	})

	DescribeTable("are refused with the reason", func(reason Reason, changes ...Change) {
		t := mustParse(validRoutes, validPools)
		before := t.Digest()
		_, err := t.Apply(changes)
		var firstErr *Error
		Expect(errors.As(err, &firstErr)).To(BeTrue())
		Expect(firstErr.Reason).To(Equal(reason))
		Expect(mustParse(validRoutes, validPools).Digest()).To(Equal(before))
	},
		Entry("no field", ReasonBadChange, Change{}),
		Entry("two fields", ReasonBadChange, Change{Pool: &Pool{Name: "a"}, Server: &Server{Name: "a"}}),
		Entry("two changes of one row", ReasonBadChange, Change{Server: &Server{Name: "a"}}, Change{Server: &Server{Name: "a"}}),
		Entry("removal of an unknown row", ReasonRowNotFound, Change{Remove: &RowRef{KindServer, "a"}}),
		Entry("removal of an unknown kind", ReasonRowNotFound, Change{Remove: &RowRef{"x", "a"}}),
		Entry("removal of a pool in use", ReasonDanglingReference, Change{Remove: &RowRef{KindPool, "shop"}}),
		Entry("an invalid name", ReasonBadName, Change{Server: &Server{Name: "A"}}),
		Entry("a value out of bounds", ReasonBadValue, Change{Workspace: &Workspace{"alpha", 1, 0}}))
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(validRoutes), []byte(validPools))
	f.Add([]byte("[route a]\npath = \"\"\"/\n\"\"\"\n- = x"), []byte("[pool p]\nwarm_up = `1s`"))
	f.Add([]byte("\xef\xbb\xbf[key a]\n\"k = 1"), []byte("[server %(a)s]\ndrain : true"))
	f.Fuzz(func(t *testing.T, routes, pools []byte) {
		a, err := Parse(routes, pools)
		if err != nil {
			if !errors.As(err, &Errors{}) || err.Error() == "" {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		b, err := Parse(a.Format())
		if err != nil || a.Digest() != b.Digest() || len(Diff(a, b)) != 0 {
			t.Fatalf("the canonical form differs: %v", err)
		}
	})
}

// largeTables returns tables of the design size: 130 services with 1,100 servers.
func largeTables() *Tables {
	var routes, pools strings.Builder
	for i := range 130 {
		fmt.Fprintf(&routes, "[route r%d]\npath = /service-%d/v1\npool = p%d\n", i, i, i)
		fmt.Fprintf(&pools, "[pool p%d]\n[workspace w%d]\nrate = 100\nburst = 100\n", i, i)
		fmt.Fprintf(&routes, "[key %s]\nworkspace = w%d\n", DigestKey(fmt.Sprint(i)), i)
	}
	for i := range 1100 {
		fmt.Fprintf(&pools, "[server s%d]\n", i)
	}
	return mustParse(routes.String(), pools.String())
}

func BenchmarkMatch(b *testing.B) {
	t := largeTables()
	b.ReportAllocs()
	for b.Loop() {
		t.Match("GET", "/service-77/v1/items/12345")
	}
}

func BenchmarkKey(b *testing.B) {
	t, digest := largeTables(), DigestKey("77")
	b.ReportAllocs()
	for b.Loop() {
		t.WorkspaceOfKey(digest)
	}
}

func BenchmarkApply(b *testing.B) {
	t := largeTables()
	changes := []Change{{Server: &Server{Name: "s7", Drain: true}}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := t.Apply(changes); err != nil {
			b.Fatal(err)
		}
	}
}
