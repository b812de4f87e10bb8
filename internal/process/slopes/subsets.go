package slopes

import (
	"context"
	"fmt"

	"tarragonshore.example/tarragonshore/internal/request/routing"
)

// measureSubsets reports, for a pool that all daemons call, how many upstreams a daemon
// has in its subset, how many daemons have the same upstream in theirs, and how many
// links a daemon opens when an upstream or an availability zone is lost.
func measureSubsets(_ context.Context, r *report) error {
	for _, count := range []int{8, 16, 32, 110} {
		var records, withoutZone0 []routing.Record
		for i := range count {
			record := routing.Record{ID: fmt.Sprintf("server-%04d", i), Zone: fmt.Sprintf("zone-%d", i%10), Usable: true}
			records = append(records, record)
			if record.Zone != "zone-0" {
				withoutZone0 = append(withoutZone0, record)
			}
		}
		fanIn := map[string]int{}
		links, sameZone, openedForUpstream, openedForZone := 0, 0, 0, 0
		for i := range designServers {
			name, zone := fmt.Sprintf("host-%04d", i), fmt.Sprintf("zone-%d", i%10)
			subset := routing.Subset(name, zone, records)
			before := map[string]bool{}
			for _, record := range subset {
				before[record.ID] = true
				fanIn[record.ID]++
				links++
				if record.Zone == zone {
					sameZone++
				}
			}
			openedForUpstream += countNew(before, routing.Subset(name, zone, records[1:]))
			openedForZone += countNew(before, routing.Subset(name, zone, withoutZone0))
		}
		least, most := designServers, 0
		for _, record := range records {
			least, most = min(least, fanIn[record.ID]), max(most, fanIn[record.ID])
		}
		size := fmt.Sprintf("%d upstreams 1100 daemons", count)
		r.add(size, "upstreams per daemon", float64(links)/designServers, "")
		r.add(size, "of the own zone", float64(sameZone)/float64(links)*100, "%")
		r.add(size, "daemons per upstream least", float64(least), "")
		r.add(size, "daemons per upstream greatest", float64(most), "")
		r.add(size, "links opened for a lost upstream", float64(openedForUpstream)/designServers, "per daemon")
		r.add(size, "links opened for a lost zone", float64(openedForZone)/designServers, "per daemon")
	}
	return nil
}

// countNew returns the number of upstreams of a subset that are not in before, the
// subset before the loss.
func countNew(before map[string]bool, subset []routing.Record) (count int) {
	for _, record := range subset {
		if !before[record.ID] {
			count++
		}
	}
	return count
}
