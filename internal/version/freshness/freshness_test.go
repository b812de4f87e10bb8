package freshness

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragonshore.example/tarragonshore/internal/process/platform"
)

func TestFreshness(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "freshness")
}

var now = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// reportOf returns the report of a read that started the given time ago and was
// requested 100 ms ago.
func reportOf(member string, age time.Duration, offset platform.Offset, reachable bool) Report {
	const transit = 100 * time.Millisecond
	return Report{Member: member, Age: age - transit, RequestedAt: now.Add(-transit), Offset: offset, Reachable: reachable}
}

// ages holds the ages of reads, just within and just beyond MaxAge. "cut-off" is a
// recent read by an unreachable member.
var ages = map[string]time.Duration{"recent": MaxAge, "cut-off": MaxAge, "old": MaxAge + 1}

// dimensions lists the values of each input. "*" in decisionTable matches any value.
var dimensions = []struct {
	values []string
	apply  func(in *Input, value string)
}{
	{[]string{"yes", "no"}, func(in *Input, v string) { in.HasTables = v == "yes" }},
	{[]string{"never", "recent", "old"}, func(in *Input, v string) {
		if v != "never" {
			in.ReadAt = now.Add(-ages[v])
		}
	}},
	{[]string{"none", "recent", "old"}, func(in *Input, v string) { // a member at the offset of this daemon
		if v != "none" {
			in.Reports = append(in.Reports, reportOf("same", ages[v], 10, true))
		}
	}},
	{[]string{"none", "recent", "cut-off", "old"}, func(in *Input, v string) { // a member at a greater offset
		if v != "none" {
			in.Reports = append(in.Reports, reportOf("newer", ages[v], 11, v != "cut-off"))
		}
	}},
	{[]string{"majority", "half"}, func(in *Input, v string) { // reachable members of the known ones
		in.Known, in.Reachable = 10, map[string]int{"majority": 6, "half": 5}[v]
	}},
	{[]string{"majority", "half", "not-asked"}, func(in *Input, v string) { // answers of the members asked
		in.Asked, in.Answered = map[string]int{"majority": 8, "half": 8}[v], map[string]int{"majority": 5, "half": 4}[v]
	}},
}

// decisionTable lists patterns over the dimensions; each combination of values has
// to match exactly one. Alternatives are joined by "|".
var decisionTable = []struct {
	pattern [6]string
	want    Decision
}{
	{[6]string{"no", "*", "none|old", "none|old|cut-off", "*", "*"}, Decision{State: StateStale, Reason: ReasonNeverRead}},
	{[6]string{"no", "*", "none|old", "recent", "*", "*"}, Decision{State: StateCatchUp, Reason: ReasonNeverRead, FetchFrom: "newer"}},
	{[6]string{"no", "*", "recent", "*", "*", "*"}, Decision{State: StateCatchUp, Reason: ReasonNeverRead, FetchFrom: "same"}},
	{[6]string{"yes", "recent", "*", "none|old|cut-off", "*", "*"}, Decision{State: StateFresh, Reason: ReasonOwnRead, Until: now}},
	{[6]string{"yes", "recent", "*", "recent", "*", "*"}, Decision{State: StateFresh, Reason: ReasonOwnRead, FetchFrom: "newer", Until: now}},
	{[6]string{"yes", "never|old", "recent", "none|old|cut-off", "*", "*"}, Decision{State: StateFresh, Reason: ReasonPeerRead, Until: now}},
	{[6]string{"yes", "never|old", "recent", "recent", "*", "*"}, Decision{State: StateFresh, Reason: ReasonPeerRead, FetchFrom: "newer", Until: now}},
	{[6]string{"yes", "never|old", "none|old", "recent", "*", "*"}, Decision{State: StateCatchUp, Reason: ReasonPeerNewer, FetchFrom: "newer"}},
	{[6]string{"yes", "never|old", "none|old", "cut-off", "*", "*"}, Decision{State: StateStale, Reason: ReasonPeerNewerUnreachable}},
	{[6]string{"yes", "never|old", "none|old", "none|old", "half", "*"}, Decision{State: StateStale, Reason: ReasonNoMajority}},
	{[6]string{"yes", "never|old", "none|old", "none|old", "majority", "half|not-asked"}, Decision{State: StateStale, Reason: ReasonNoAnswers}},
	{[6]string{"yes", "never|old", "none|old", "none|old", "majority", "majority"}, Decision{State: StatePlatformOutage, Reason: ReasonMajorityWithoutPlatform}},
}

func patternMatches(pattern, values [6]string) bool {
	for i := range pattern {
		if pattern[i] != "*" && !slices.Contains(strings.Split(pattern[i], "|"), values[i]) {
			return false
		}
	}
	return true
}

var _ = ginkgo.Describe("the decision", func() {
	var combinations [][6]string
	var expand func(prefix []string)
	expand = func(prefix []string) {
		if len(prefix) == len(dimensions) {
			combinations = append(combinations, [6]string(prefix))
			return
		}
		for _, v := range dimensions[len(prefix)].values {
			expand(append(append([]string{}, prefix...), v))
		}
	}
	expand(nil)

	// Guards against a combination of inputs that no row, or more than one, covers.
	ginkgo.It("is as in the decision table for every combination of inputs", func() {
		Expect(combinations).To(HaveLen(2 * 3 * 3 * 4 * 2 * 3))
		for _, values := range combinations {
			in := Input{Now: now, Offset: 10}
			for i, d := range dimensions {
				d.apply(&in, values[i])
			}
			found := 0
			for _, row := range decisionTable {
				if patternMatches(row.pattern, values) {
					found++
					Expect(Decide(in)).To(Equal(row.want), fmt.Sprint(values))
				}
			}
			Expect(found).To(Equal(1), fmt.Sprint(values))
		}
	})
	// Guards against a daemon that is alone and waits for answers forever.
	ginkgo.It("counts a daemon without other members as a majority", func() {
		in := Input{Now: now, HasTables: true, ReadAt: now.Add(-time.Minute), Known: 1, Reachable: 1}
		Expect(Decide(in).State).To(Equal(StatePlatformOutage))
	})

	// Guards against ages that are counted from the arrival of the report, and
	// against a negative age in a report that makes the tables look fresh.
	ginkgo.DescribeTable("adds the transit time of a report to its age", func(age, transit time.Duration) {
		r := Report{Member: "a", Age: age, RequestedAt: now.Add(-transit), Offset: 10, Reachable: true}
		in := Input{Now: now, HasTables: true, Offset: 10, Reports: []Report{r}, Known: 2, Reachable: 2}
		Expect(Decide(in).MayServe()).To(BeFalse())
	},
		ginkgo.Entry("to a positive age", 3*time.Second, 1001*time.Millisecond),
		ginkgo.Entry("to a negative age, which counts as 0", -time.Hour, 5*time.Second),
	)
})

func BenchmarkDecide(b *testing.B) {
	in := Input{Now: now, HasTables: true, ReadAt: now.Add(-5 * time.Second), Offset: 10, Known: 1100, Reachable: 1100, Asked: 16, Answered: 16}
	for i := range 100 {
		in.Reports = append(in.Reports, reportOf("m", time.Duration(i)*100*time.Millisecond, 10, true))
	}
	b.ReportAllocs()
	for b.Loop() {
		Decide(in)
	}
}
