package execution

import (
	"encoding/base64"
	"io"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/ticket"
)

// tokenBytes is the size of a request token. 128 random bits cannot be guessed.
const tokenBytes = 16

// maxKeyBytes bounds the length of an Idempotency-Key, which is kept in memory.
const maxKeyBytes = 255

// CallOptions holds the bounds of a CallTable.
type CallOptions struct {
	MaxRuns          int
	MaxKeysPerRun    int
	MaxKeys          int // over all runs
	MaxResponseBytes int // over all runs
}

// DefaultCallOptions returns the bounds that daemons use. They allow several times as
// many runs as a large backend server has slots.
func DefaultCallOptions() CallOptions {
	return CallOptions{MaxRuns: 4096, MaxKeysPerRun: 256, MaxKeys: 16_384, MaxResponseBytes: 2 << 20}
}

// CallTable tracks the runs at this daemon's backend server and the calls that each run
// makes. A run is one execution of a request, the parent of these calls. It is
// identified by its request token, which the backend server sends along with each call.
// Within a run, a call is identified by its idempotency key, and runs at most once.
type CallTable struct {
	options CallOptions
	runs    map[string]*run
	keys    int // idempotency keys of all runs
	bytes   int // size of the stored responses of all runs
}

// run is one execution of a request at the backend server.
type run struct {
	parent   wire.Context // context of the request
	deadline time.Time
	credits  uint8 // retry credits that remain
	bytes    int   // size of the stored responses
	calls    map[string]*call
}

// call is a call of a run that has an idempotency key.
type call struct {
	fingerprint ticket.Fingerprint
	state       CallOutcome    // CallInProgress, CallReplay or CallUnknown
	reason      Reason         // for CallUnknown
	response    *wire.Response // for CallReplay
}

// NewCallTable returns an empty table.
func NewCallTable(options CallOptions) *CallTable {
	return &CallTable{options: options, runs: map[string]*run{}}
}

// Len returns the number of runs.
func (c *CallTable) Len() int { return len(c.runs) }

// ResponseBytes returns the total size of the stored responses in bytes.
func (c *CallTable) ResponseBytes() int { return c.bytes }

// BeginRun registers a run of a request with the context parent and returns its request
// token. The token is valid until EndRun or until the deadline.
func (c *CallTable) BeginRun(random io.Reader, parent wire.Context, deadline time.Time) (string, *problem.Problem) {
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

// Lookup returns the context that a call with the token inherits from the run: that of
// the parent, one level deeper, with the remaining time and retry credits.
func (c *CallTable) Lookup(now time.Time, token string) (wire.Context, *problem.Problem) {
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

// find returns the run of a token, or the refusal of a call with an invalid token.
func (c *CallTable) find(now time.Time, token string) (*run, *problem.Problem) {
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

// TakeCredits moves up to n retry credits from the run to a call and returns how many
// it moved. Package retry decides how many to take.
func (c *CallTable) TakeCredits(token string, n uint8) uint8 {
	r := c.runs[token]
	if r == nil {
		return 0
	}
	n = min(n, r.credits)
	r.credits -= n
	return n
}

// ReturnCredits returns up to n unspent retry credits to the run, which never has more
// than it started with.
func (c *CallTable) ReturnCredits(token string, n uint8) {
	if r := c.runs[token]; r != nil {
		r.credits += min(n, r.parent.Credits-r.credits)
	}
}

// CallOutcome tells what to do with a call that the backend server makes.
type CallOutcome uint8

// The outcomes of Begin.
const (
	// CallDispatch: execute the call and end it with Complete, MarkNotExecuted or
	// MarkUnknown.
	CallDispatch CallOutcome = iota + 1
	// CallReplay: the call has run before; send CallDecision.Response.
	CallReplay
	// CallInProgress: a call with the same key is in progress; wait for its result.
	CallInProgress
	// CallUnknown: the call may have run and must not run again.
	CallUnknown
	// CallRefused: the call must not run.
	CallRefused
)

// CallDecision is the result of Begin. Problem is set for CallUnknown and
// CallRefused.
type CallDecision struct {
	Outcome  CallOutcome
	Response *wire.Response
	Problem  *problem.Problem
}

// refuse returns the refusal of a call that did not run.
func refuse(kind problem.Kind, detail string) CallDecision {
	return CallDecision{Outcome: CallRefused, Problem: problem.New(kind, detail)}
}

// Begin decides what to do with a call that is made with a request token. idempotent
// states whether the route of the call is idempotent. An idempotent call needs no key.
func (c *CallTable) Begin(now time.Time, token, key string, fingerprint ticket.Fingerprint, idempotent bool) CallDecision {
	r, p := c.find(now, token)
	if p != nil {
		return CallDecision{Outcome: CallRefused, Problem: p}
	}
	switch {
	case !idempotent && r.parent.Idempotent:
		return refuse(problem.KindParentIdempotent, "a retry of the parent would run the call again")
	case key == "" && idempotent:
		return CallDecision{Outcome: CallDispatch}
	case key == "":
		return refuse(problem.KindTicketRequired, "the call needs an Idempotency-Key that is unique within the run")
	case len(key) > maxKeyBytes:
		return refuse(problem.KindRequestInvalid, "Idempotency-Key is longer than 255 bytes")
	}
	if known := r.calls[key]; known != nil {
		return known.decideRepeat(fingerprint)
	}
	if len(r.calls) >= c.options.MaxKeysPerRun || c.keys >= c.options.MaxKeys {
		return refuse(problem.KindOverloaded, "too many idempotency keys are in use")
	}
	if r.calls == nil {
		r.calls = map[string]*call{}
	}
	r.calls[key] = &call{fingerprint: fingerprint, state: CallInProgress}
	c.keys++
	return CallDecision{Outcome: CallDispatch}
}

// decideRepeat decides what to do with another call that has the same key.
func (k *call) decideRepeat(fingerprint ticket.Fingerprint) CallDecision {
	if k.fingerprint != fingerprint {
		return refuse(problem.KindTicketConflict, "Idempotency-Key was used with another call in this run")
	}
	d := CallDecision{Outcome: k.state, Response: k.response}
	if k.state == CallUnknown {
		d.Problem = problem.Unknown(problem.KindOutcomeUnknown, string(k.reason))
	}
	return d
}

// inProgress returns the run and the call if both exist and the call is in progress.
func (c *CallTable) inProgress(token, key string) (*run, *call) {
	r := c.runs[token]
	if r == nil {
		return nil, nil
	}
	k := r.calls[key]
	if k == nil || k.state != CallInProgress {
		return nil, nil
	}
	return r, k
}

// Complete ends a call and stores its response, so that repeated calls get the same one.
// response must not be modified afterwards. If there is no room for it, repeated calls
// are told that the outcome is unknown.
func (c *CallTable) Complete(token, key string, response *wire.Response) {
	r, k := c.inProgress(token, key)
	if k == nil {
		return
	}
	size := ticket.ResponseSize(response)
	if c.bytes+size > c.options.MaxResponseBytes {
		k.state, k.reason = CallUnknown, ReasonEnded
		return
	}
	c.bytes += size
	r.bytes += size
	k.state, k.response = CallReplay, response
}

// MarkNotExecuted ends a call that is proven not to have run. Its key can be used again.
func (c *CallTable) MarkNotExecuted(token, key string) {
	if r, k := c.inProgress(token, key); k != nil {
		delete(r.calls, key)
		c.keys--
	}
}

// MarkUnknown ends a call that may have run, so that it never runs again.
func (c *CallTable) MarkUnknown(token, key string, reason Reason) {
	if _, k := c.inProgress(token, key); k != nil {
		k.state, k.reason = CallUnknown, reason
	}
}

// EndRun removes a run and returns its unspent retry credits. Its token is no longer
// valid.
func (c *CallTable) EndRun(token string) (unspent uint8) {
	r := c.runs[token]
	if r == nil {
		return 0
	}
	c.bytes -= r.bytes
	c.keys -= len(r.calls)
	delete(c.runs, token)
	return r.credits
}

// Sweep ends the runs whose deadline passed more than grace ago, and returns how many
// it ended.
func (c *CallTable) Sweep(now time.Time, grace time.Duration) int {
	count := 0
	for token, r := range c.runs {
		if now.Sub(r.deadline) > grace {
			c.EndRun(token)
			count++
		}
	}
	return count
}
