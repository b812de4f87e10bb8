package slopes

import (
	"context"
	"fmt"

	"tarragonshore.example/tarragonshore/internal/request/routing"
)

// measureSubsets reports, for a pool that all daemons call, how many daemons have an
// upstream in their subset, and how many links daemons open when an upstream or an
// availability zone is lost.
func measureSubsets(_ context.Context, r *report) error {
	for _, count := range []int{8, 16, 32, 110} {
		var records, others []routing.Record
		for i := range count {
			record := routing.Record{ID: fmt.Sprintf("server-%04d", i), Zone: fmt.Sprintf("zone-%d", i%10), Usable: true}
			records = append(records, record)
			if record.Zone != "zone-0" {
				others = append(others, record)
			}
		}
		fanIn := map[string]int{}
		links, sameZone, movedByOne, movedByZone := 0, 0, 0, 0
		for i := range designServers {
			name, zone := fmt.Sprintf("host-%04d", i), fmt.Sprintf("zone-%d", i%10)
			subset := routing.Subset(name, zone, records)
			held := map[string]bool{}
			for _, record := range subset {
				held[record.ID] = true
				fanIn[record.ID]++
				links++
				if record.Zone == zone {
					sameZone++
				}
			}
			movedByOne += countNew(held, routing.Subset(name, zone, records[1:]))
			movedByZone += countNew(held, routing.Subset(name, zone, others))
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
		r.add(size, "links opened for a lost upstream", float64(movedByOne)/designServers, "per daemon")
		r.add(size, "links opened for a lost zone", float64(movedByZone)/designServers, "per daemon")
	}
	return nil
}

// countNew returns the number of upstreams of a subset that are not in held.
func countNew(held map[string]bool, subset []routing.Record) (count int) {
	for _, record := range subset {
		if !held[record.ID] {
			count++
		}
	}
	return count
}
