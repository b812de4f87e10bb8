package kit

import (
	"sort"
	"time"
)

// MostInWindow returns the greatest number of requests that were both sent and run
// within one window. A request that ran twice counts once.
func MostInWindow(runs []Run, sent map[string]time.Time, window time.Duration) int {
	type span struct{ from, to time.Time }
	spans := map[string]span{}
	for _, r := range runs {
		from, known := sent[r.ID]
		if s, seen := spans[r.ID]; known && (!seen || r.At.Before(s.to)) {
			spans[r.ID] = span{from, r.At}
		}
	}
	list := make([]span, 0, len(spans))
	for _, s := range spans {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].from.Before(list[j].from) })
	most := 0
	for i, first := range list {
		end, n := first.from.Add(window), 0
		for _, s := range list[i:] {
			if s.from.After(end) {
				break
			}
			if !s.to.After(end) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
