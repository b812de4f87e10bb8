package agent

import (
	"cmp"
	"slices"

	"github.com/rotisserie/eris"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/shedding"
)

const (
	// maxStatusBytes is the greatest size of a status. A receiver that cannot read it
	// takes its sender for gone. It leaves room for a Relay in the 16 KiB that former
	// releases read of a datagram.
	maxStatusBytes = 15 << 10
	// shrinkDivisor determines how many entries are left out at a time: at least one in so
	// many.
	shrinkDivisor = 8
)

// encodeStatus returns the frame of a status. If the status is too long for a datagram, the
// frame lacks the entries that matter least, leftOut of them: first arrivals, then runs,
// each with the lowest rates, and last the workspaces with the least demand, which the
// limits of the rates depend on.
func encodeStatus(s *wire.Status) (frame []byte, leftOut int, err error) {
	frame, err = wire.Encode(s)
	if err != nil || len(frame) <= maxStatusBytes {
		return frame, 0, err
	}
	short := *s
	short.Arrivals = slices.SortedFunc(slices.Values(s.Arrivals), func(a, b shedding.Arrivals) int { return cmp.Compare(b.Rate, a.Rate) })
	short.Runs = slices.SortedFunc(slices.Values(s.Runs), func(a, b shedding.RunReport) int { return cmp.Compare(b.Rate, a.Rate) })
	short.Usage = slices.SortedFunc(slices.Values(s.Usage), func(a, b wire.WorkspaceUsage) int { return cmp.Compare(b.Demand, a.Demand) })
	for err == nil && len(frame) > maxStatusBytes {
		switch {
		case len(short.Arrivals) > 0:
			short.Arrivals = shrink(short.Arrivals, len(frame))
		case len(short.Runs) > 0:
			short.Runs = shrink(short.Runs, len(frame))
		case len(short.Usage) > 0:
			short.Usage = shrink(short.Usage, len(frame))
		default:
			return nil, 0, eris.Errorf("a status without entries has %d bytes; use shorter names, at most %d bytes fit into a datagram", len(frame), maxStatusBytes)
		}
		frame, err = wire.Encode(&short)
	}
	leftOut = len(s.Arrivals) + len(s.Runs) + len(s.Usage) - len(short.Arrivals) - len(short.Runs) - len(short.Usage)
	return frame, leftOut, err
}

// shrink drops the last entries of a list in a frame that is too long: as many as it would
// take if the frame had no other parts, so that few frames have to be encoded.
func shrink[T any](list []T, frameBytes int) []T {
	left := len(list) - (len(list)+shrinkDivisor-1)/shrinkDivisor
	return list[:min(left, len(list)*maxStatusBytes/frameBytes)]
}
