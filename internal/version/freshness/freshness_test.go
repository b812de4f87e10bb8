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

// told is the report of a read of the given age, with 100 ms of it in transit.
func told(member string, age time.Duration, offset platform.Offset, reachable bool) Report {
	const transit = 100 * time.Millisecond
	return Report{Member: member, Age: age - transit, AskedAt: now.Add(-transit), Offset: offset, Reachable: reachable}
}

// The values of each input. "*" in a row stands for all of them.
var dimensions = []struct {
	name   string
	values []string
	apply  func(in *Input, value string)
}{
	{"tables", []string{"yes", "no"}, func(in *Input, v string) { in.HasTables = v == "yes" }},
	{"own read", []string{"never", "recent", "old"}, func(in *Input, v string) {
		switch v {
		case "recent":
			in.ReadAt = now.Add(-MaxAge)
		case "old":
			in.ReadAt = now.Add(-MaxAge - 1)
		}
	}},
	{"peer at own offset", []string{"none", "recent", "old"}, func(in *Input, v string) {
		switch v {
		case "recent":
			in.Reports = append(in.Reports, told("same", MaxAge, 10, true))
		case "old":
			in.Reports = append(in.Reports, told("same", MaxAge+1, 10, true))
		}
	}},
	{"peer at greater offset", []string{"none", "recent", "cut-off", "old"}, func(in *Input, v string) {
		switch v {
		case "recent":
			in.Reports = append(in.Reports, told("newer", MaxAge, 11, true))
		case "cut-off":
			in.Reports = append(in.Reports, told("newer", MaxAge, 11, false))
		case "old":
			in.Reports = append(in.Reports, told("newer", MaxAge+1, 11, true))
		}
	}},
	{"reachable", []string{"majority", "half"}, func(in *Input, v string) {
		in.Known, in.Reachable = 10, 5
		if v == "majority" {
			in.Reachable = 6
		}
	}},
	{"answers", []string{"majority", "half", "not-asked"}, func(in *Input, v string) {
		switch v {
		case "majority":
			in.Asked, in.Answered = 8, 5
		case "half":
			in.Asked, in.Answered = 8, 4
		}
	}},
}

// rows lists patterns over the dimensions; each combination matches exactly one.
// Alternatives are joined by "|".
var rows = []struct {
	pattern [6]string
	want    Decision
}{
	{[6]string{"no", "*", "none|old", "none|old|cut-off", "*", "*"}, Decision{State: StateStale, Reason: ReasonNeverRead}},
	{[6]string{"no", "*", "none|old", "recent", "*", "*"}, Decision{State: StateCatchUp, Reason: ReasonNeverRead, From: "newer"}},
	{[6]string{"no", "*", "recent", "*", "*", "*"}, Decision{State: StateCatchUp, Reason: ReasonNeverRead, From: "same"}},
	{[6]string{"yes", "recent", "*", "none|old|cut-off", "*", "*"}, Decision{State: StateFresh, Reason: ReasonOwnRead, Until: now}},
	{[6]string{"yes", "recent", "*", "recent", "*", "*"}, Decision{State: StateFresh, Reason: ReasonOwnRead, From: "newer", Until: now}},
	{[6]string{"yes", "never|old", "recent", "none|old|cut-off", "*", "*"}, Decision{State: StateFresh, Reason: ReasonPeerRead, Until: now}},
	{[6]string{"yes", "never|old", "recent", "recent", "*", "*"}, Decision{State: StateFresh, Reason: ReasonPeerRead, From: "newer", Until: now}},
	{[6]string{"yes", "never|old", "none|old", "recent", "*", "*"}, Decision{State: StateCatchUp, Reason: ReasonPeerNewer, From: "newer"}},
	{[6]string{"yes", "never|old", "none|old", "cut-off", "*", "*"}, Decision{State: StateStale, Reason: ReasonPeerNewerUnreachable}},
	{[6]string{"yes", "never|old", "none|old", "none|old", "half", "*"}, Decision{State: StateStale, Reason: ReasonNoMajority}},
	{[6]string{"yes", "never|old", "none|old", "none|old", "majority", "half|not-asked"}, Decision{State: StateStale, Reason: ReasonNoAnswers}},
	{[6]string{"yes", "never|old", "none|old", "none|old", "majority", "majority"}, Decision{State: StatePlatformOutage, Reason: ReasonMajorityWithoutPlatform}},
}

func rowMatches(pattern, values [6]string) bool {
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

	// Guards against a combination that nobody thought of.
	ginkgo.It("is the one of the table for every combination", func() {
		Expect(combinations).To(HaveLen(2 * 3 * 3 * 4 * 2 * 3))
		for _, values := range combinations {
			in := Input{Now: now, Offset: 10}
			for i, d := range dimensions {
				d.apply(&in, values[i])
			}
			found := 0
			for _, row := range rows {
				if rowMatches(row.pattern, values) {
					found++
					Expect(Decide(in)).To(Equal(row.want), fmt.Sprint(values))
				}
			}
			Expect(found).To(Equal(1), fmt.Sprint(values))
		}
	})
	// Guards against a daemon that knows no other and waits for answers forever.
	ginkgo.It("takes a daemon without other members for a majority", func() {
		in := Input{Now: now, HasTables: true, ReadAt: now.Add(-time.Minute), Known: 1, Reachable: 1}
		Expect(Decide(in).State).To(Equal(StatePlatformOutage))
	})

	// Guards against counting the age of a read from the arrival of the answer.
	ginkgo.It("counts the time on the way as age", func() {
		r := Report{Member: "a", Age: 3 * time.Second, AskedAt: now.Add(-1001 * time.Millisecond), Offset: 10, Reachable: true}
		in := Input{Now: now, HasTables: true, Offset: 10, Reports: []Report{r}, Known: 2, Reachable: 2}
		Expect(Decide(in).Serve()).To(BeFalse())
	})

	// Guards against a report with a negative age that makes tables look fresh.
	ginkgo.It("takes a negative age for none", func() {
		r := Report{Member: "a", Age: -time.Hour, AskedAt: now.Add(-5 * time.Second), Offset: 10, Reachable: true}
		in := Input{Now: now, HasTables: true, Offset: 10, Reports: []Report{r}, Known: 2, Reachable: 2}
		Expect(Decide(in).Serve()).To(BeFalse())
	})
})

func BenchmarkDecide(b *testing.B) {
	in := Input{Now: now, HasTables: true, ReadAt: now.Add(-5 * time.Second), Offset: 10, Known: 1100, Reachable: 1100, Asked: 16, Answered: 16}
	for i := range 100 {
		in.Reports = append(in.Reports, told("m", time.Duration(i)*100*time.Millisecond, 10, true))
	}
	b.ReportAllocs()
	for b.Loop() {
		Decide(in)
	}
}
