package execution

import (
	"encoding/base64"
	"io"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/ticket"
)

// tokenBytes makes a token unguessable (128 bits).
const tokenBytes = 16

// maxKeyBytes bounds an Idempotency-Key, which the table keeps.
const maxKeyBytes = 255

// ChildOptions bounds the memory of Children.
type ChildOptions struct {
	MaxRuns        int
	MaxKeysPerRun  int
	MaxKeys        int // of all runs together
	MaxAnswerBytes int // of all runs together
}

// DefaultChildOptions allows for as many runs as a large backend server has
// slots, several times over.
func DefaultChildOptions() ChildOptions {
	return ChildOptions{MaxRuns: 4096, MaxKeysPerRun: 256, MaxKeys: 16_384, MaxAnswerBytes: 2 << 20}
}

// Children is the table of request tokens: the runs of the own backend server
// and the calls that these runs make.
type Children struct {
	options ChildOptions
	runs    map[string]*run
	keys    int
	bytes   int
}

type run struct {
	parent   wire.Context
	deadline time.Time
	credits  uint8
	bytes    int
	calls    map[string]*call
}

type call struct {
	fingerprint ticket.Fingerprint
	state       ChildOutcome // ChildInProgress, ChildReplay or ChildUnknown
	reason      Reason
	response    *wire.Response
}

// NewChildren returns an empty table.
func NewChildren(options ChildOptions) *Children {
	return &Children{options: options, runs: map[string]*run{}}
}

// Len returns the number of runs.
func (c *Children) Len() int { return len(c.runs) }

// AnswerBytes returns the bytes of stored answers.
func (c *Children) AnswerBytes() int { return c.bytes }

// NewToken registers a run and returns its token. The run ends with End, or
// at the deadline.
func (c *Children) NewToken(random io.Reader, parent wire.Context, deadline time.Time) (string, *problem.Problem) {
	if len(c.runs) >= c.options.MaxRuns {
		return "", problem.New(problem.KindOverloaded, "too many requests are running on this host")
	}
	var b [tokenBytes]byte
	if _, err := io.ReadFull(random, b[:]); err != nil {
		return "", problem.New(problem.KindOverloaded, "cannot read random bytes")
	}
	token := base64.RawURLEncoding.EncodeToString(b[:])
	if c.runs[token] != nil {
		return "", problem.New(problem.KindOverloaded, "request token is in use")
	}
	c.runs[token] = &run{parent: parent, deadline: deadline, credits: parent.Credits}
	return token, nil
}

// Lookup returns what a call with the token inherits: the parent's context one
// level deeper, with the time and the credits that remain now.
func (c *Children) Lookup(now time.Time, token string) (wire.Context, *problem.Problem) {
	r, p := c.find(now, token)
	if p != nil {
		return wire.Context{}, p
	}
	inherited := r.parent
	inherited.Credits = r.credits
	inherited.RemainingMS = uint32(max(0, r.deadline.Sub(now).Milliseconds()))
	if inherited.Depth < 255 {
		inherited.Depth++
	}
	return inherited, nil
}

func (c *Children) find(now time.Time, token string) (*run, *problem.Problem) {
	r := c.runs[token]
	if r == nil {
		return nil, problem.New(problem.KindRequestInvalid,
			"Tarragon-Request-Token belongs to no running request; send the token of the request that makes the call")
	}
	if !now.Before(r.deadline) {
		return nil, problem.New(problem.KindDeadline, string(ReasonDeadline))
	}
	return r, nil
}

// TakeCredits moves up to n credits from the run to a call and returns how
// many. The package retry decides how many to take.
func (c *Children) TakeCredits(token string, n uint8) uint8 {
	r := c.runs[token]
	if r == nil {
		return 0
	}
	n = min(n, r.credits)
	r.credits -= n
	return n
}

// ReturnCredits gives unspent credits back, at most up to the parent's own.
func (c *Children) ReturnCredits(token string, n uint8) {
	if r := c.runs[token]; r != nil {
		r.credits += min(n, r.parent.Credits-r.credits)
	}
}

// ChildOutcome is what to do with a call of the own backend server.
type ChildOutcome uint8

// The outcomes of Begin.
const (
	// ChildDispatch: run the call and end it with Complete, Abandon or MarkUnknown.
	ChildDispatch ChildOutcome = iota + 1
	// ChildReplay: send ChildDecision.Response.
	ChildReplay
	// ChildInProgress: wait for the result of the call with the same key.
	ChildInProgress
	// ChildUnknown: it may have run and is never run again.
	ChildUnknown
	// ChildRefused: it does not run.
	ChildRefused
)

// ChildDecision is the result of Begin. Problem is set for ChildUnknown and
// ChildRefused.
type ChildDecision struct {
	Outcome  ChildOutcome
	Response *wire.Response
	Problem  *problem.Problem
}

func refuse(kind problem.Kind, detail string) ChildDecision {
	return ChildDecision{Outcome: ChildRefused, Problem: problem.New(kind, detail)}
}

// Begin decides about a call under a token. idempotent is that of the call's
// own route. An idempotent call needs no key.
func (c *Children) Begin(now time.Time, token, key string, fingerprint ticket.Fingerprint, idempotent bool) ChildDecision {
	r, p := c.find(now, token)
	if p != nil {
		return ChildDecision{Outcome: ChildRefused, Problem: p}
	}
	switch {
	case !idempotent && r.parent.Idempotent:
		return refuse(problem.KindParentIdempotent, "a retry of the parent would run the call again")
	case key == "" && idempotent:
		return ChildDecision{Outcome: ChildDispatch}
	case key == "":
		return refuse(problem.KindTicketRequired, "the call needs an Idempotency-Key that is unique within the run")
	case len(key) > maxKeyBytes:
		return refuse(problem.KindRequestInvalid, "Idempotency-Key is longer than 255 bytes")
	}
	if known := r.calls[key]; known != nil {
		return known.repeat(fingerprint)
	}
	if len(r.calls) >= c.options.MaxKeysPerRun || c.keys >= c.options.MaxKeys {
		return refuse(problem.KindOverloaded, "too many idempotency keys are in use")
	}
	if r.calls == nil {
		r.calls = map[string]*call{}
	}
	r.calls[key] = &call{fingerprint: fingerprint, state: ChildInProgress}
	c.keys++
	return ChildDecision{Outcome: ChildDispatch}
}

func (k *call) repeat(fingerprint ticket.Fingerprint) ChildDecision {
	if k.fingerprint != fingerprint {
		return refuse(problem.KindTicketConflict, "Idempotency-Key was used with another call in this run")
	}
	d := ChildDecision{Outcome: k.state, Response: k.response}
	if k.state == ChildUnknown {
		d.Problem = problem.Unknown(problem.KindOutcomeUnknown, string(k.reason))
	}
	return d
}

// inProgress returns the call, if its run has not ended.
func (c *Children) inProgress(token, key string) (*run, *call) {
	r := c.runs[token]
	if r == nil {
		return nil, nil
	}
	k := r.calls[key]
	if k == nil || k.state != ChildInProgress {
		return nil, nil
	}
	return r, k
}

// Complete stores the answer of a call; response must not be changed
// afterwards. If there is no room for it, repeats get the outcome unknown.
func (c *Children) Complete(token, key string, response *wire.Response) {
	r, k := c.inProgress(token, key)
	if k == nil {
		return
	}
	size := ticket.ResponseSize(response)
	if c.bytes+size > c.options.MaxAnswerBytes {
		k.state, k.reason = ChildUnknown, ReasonEnded
		return
	}
	c.bytes += size
	r.bytes += size
	k.state, k.response = ChildReplay, response
}

// Abandon ends a call that was proven not to run; its key can be used again.
func (c *Children) Abandon(token, key string) {
	if r, k := c.inProgress(token, key); k != nil {
		delete(r.calls, key)
		c.keys--
	}
}

// MarkUnknown ends a call that may have run.
func (c *Children) MarkUnknown(token, key string, reason Reason) {
	if _, k := c.inProgress(token, key); k != nil {
		k.state, k.reason = ChildUnknown, reason
	}
}

// End forgets a run, with its unspent credits as the result. From then on its
// token is refused.
func (c *Children) End(token string) (unspent uint8) {
	r := c.runs[token]
	if r == nil {
		return 0
	}
	c.bytes -= r.bytes
	c.keys -= len(r.calls)
	delete(c.runs, token)
	return r.credits
}

// Sweep ends the runs that are over for longer than grace and were not ended.
func (c *Children) Sweep(now time.Time, grace time.Duration) int {
	count := 0
	for token, r := range c.runs {
		if now.Sub(r.deadline) > grace {
			c.End(token)
			count++
		}
	}
	return count
}
