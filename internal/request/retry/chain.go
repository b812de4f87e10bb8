package retry

const (
	// chainLimitShare is the fraction of the limit passed to Ratios that the retry ratios
	// of all levels of a chain add up to. It is below 1 because retries at several
	// levels multiply.
	chainLimitShare = 0.925
	// leafLimitShare is the fraction of the limit for services that call no others. A
	// call that fails there fails the work of all levels above, and retrying it costs
	// one run, while a retry at the top runs the whole tree again.
	leafLimitShare = 0.575
	// minDepth is the depth that Ratios assumes for shorter chains and while the depth
	// is unknown.
	minDepth = 4
	// directRetryShare is the fraction of a service's retries that callers' requests may
	// use. maxDirectRatio is the most retries of callers' requests per first attempt.
	directRetryShare = 0.5
	maxDirectRatio   = 1.0
)

// ChainPosition describes the position of a service in the call chains, as far as it is
// known.
type ChainPosition struct {
	CallsOthers bool // runs at the service call other services
	Depth       int  // number of services on the longest call path
	// Direct is the rate per second of callers' requests for the service, Internal that
	// of other services' calls.
	Direct, Internal float64
}

// Ratios returns the allowed retries per first attempt for one service: direct for
// callers' requests, internal for other services' calls. limit bounds the extra
// requests that reach any service of a chain as a fraction of the requests for it,
// counting both retries of calls to the service and calls made by retried runs at
// the levels above.
//
// Leaf services get the greatest part of the limit. If the upstreams of a deep
// service lose or refuse a few percent of the calls, and each tree makes ten of
// these, then with equal parts for all levels most trees fail although the budget of
// the levels above is unused. If the upstreams refuse half of the calls, no tree can
// succeed, but callers' requests for that service itself can. Therefore callers'
// requests may take half of the service's retries, and the remainder goes to other
// services' calls.
func Ratios(limit float64, c ChainPosition) (direct, internal float64) {
	total := leafLimitShare * limit
	if c.CallsOthers {
		total = (chainLimitShare - leafLimitShare) * limit / float64(max(c.Depth, minDepth)-1)
	}
	if c.Direct <= 0 || c.Internal <= 0 {
		return total, total
	}
	budget := total * (c.Direct + c.Internal)
	direct = min(max(directRetryShare*budget/c.Direct, total), maxDirectRatio)
	return direct, (budget - direct*c.Direct) / c.Internal
}
