package routing

import "tarragonshore.example/tarragonshore/internal/request/problem"

// Kind returns the problem kind of the refusal when Pick found no upstream.
func (r Reason) Kind() problem.Kind {
	if r == ReasonOverloaded {
		return problem.KindOverloaded
	}
	return problem.KindNoUpstream
}
