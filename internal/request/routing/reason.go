package routing

import "tarragonshore.example/tarragonshore/internal/request/problem"

// Kind returns the refusal for a Pick without an upstream.
func (r Reason) Kind() problem.Kind {
	if r == ReasonOverloaded {
		return problem.KindOverloaded
	}
	return problem.KindNoUpstream
}
