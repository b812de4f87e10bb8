package ticket

import (
	"io"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// Options bounds the memory of a Home.
type Options struct {
	// MaxEntries bounds the used tickets.
	MaxEntries int
	// MaxAnswerBytes bounds the stored answers, counted by ResponseSize.
	MaxAnswerBytes int
	// AnswerReserve is set aside for each request in progress. An answer up to
	// this size is always stored; a larger one only if there is room.
	AnswerReserve int
	// Retention is the time for which a used ticket is kept after its end, so
	// that late repeats still get the stored answer.
	Retention time.Duration
}

// DefaultOptions keeps the table within about half of the 32 MB that a daemon
// may use: 40,000 entries of some 200 bytes, and 8 MiB of answers.
func DefaultOptions() Options {
	return Options{MaxEntries: 40_000, MaxAnswerBytes: 8 << 20, AnswerReserve: 4 << 10, Retention: 30 * time.Second}
}

type state uint8

const (
	stateOpen       state = iota + 1 // begun, nothing dispatched
	stateDispatched                  // may run
	stateAnswered
	stateUnknown
	stateReleased // not run; waits for the hand-over to reach the successor
	stateHeld     // the old home still runs it
)

// entry is the state of one used ticket.
type entry struct {
	state       state
	reason      Reason // of stateUnknown
	fingerprint Fingerprint
	end         int64 // Unix milliseconds
	deadline    time.Time
	attempt     wire.AttemptID
	upstream    string
	response    *wire.Response
	charged     int // bytes counted against MaxAnswerBytes
	holder      Owner
}

// origin is an incarnation whose tickets this home serves.
type origin struct {
	secret  [secretBytes]byte
	signer  *signer
	lastEnd int64 // no ticket of this origin ends later
	// horizon: the state of tickets that end before it may have been dropped.
	// It keeps them from running again when the wall clock is set back.
	horizon  int64
	imported uint64 // serial of the last export taken from this origin
}

type phase uint8

const (
	phaseServing phase = iota
	phaseSealed        // exported, not confirmed
	phaseHandedOver
)

// Home is the table of one daemon incarnation.
type Home struct {
	self    Owner
	options Options
	next    uint64
	origins map[Owner]*origin
	// open has the requests in progress here; settled has all other entries.
	open    map[Key]*entry
	settled map[Key]*entry
	expiry  map[int64][]Key // settled keys by the second in which they end
	charged int

	phase     phase
	successor Owner
	serial    uint64
	confirmed uint64
	export    *Snapshot      // the last export, until it is confirmed
	exported  []Key          // its entries that the successor then owns
	late      map[Key]*entry // settled after the first export
	imports   map[Owner]*assembly
}

// NewHome returns an empty table with a new secret from random.
func NewHome(self Owner, options Options, random io.Reader) (*Home, error) {
	if len(self.Home) > maxNameBytes {
		return nil, &Error{Reason: ReasonNameTooLong}
	}
	var secret [secretBytes]byte
	if _, err := io.ReadFull(random, secret[:]); err != nil {
		return nil, &Error{Reason: ReasonRandom, Err: err}
	}
	h := &Home{
		self:    self,
		options: options,
		origins: map[Owner]*origin{},
		open:    map[Key]*entry{},
		settled: map[Key]*entry{},
		expiry:  map[int64][]Key{},
		late:    map[Key]*entry{},
		imports: map[Owner]*assembly{},
	}
	h.origins[self] = &origin{secret: secret, signer: newSigner(secret[:])}
	return h, nil
}

// Issue returns a new ticket. An unused ticket takes no memory.
func (h *Home) Issue(now time.Time, workspace string) (Ticket, error) {
	if h.phase != phaseServing {
		return Ticket{}, &Error{Reason: ReasonMoving}
	}
	if len(workspace) > maxNameBytes {
		return Ticket{}, &Error{Reason: ReasonNameTooLong}
	}
	if reason := h.full(); reason != "" {
		return Ticket{}, &Error{Reason: reason}
	}
	h.next++
	own := h.origins[h.self]
	end := now.Add(Lifetime).UnixMilli()
	own.lastEnd = max(own.lastEnd, end)
	t := Ticket{Owner: h.self, Workspace: workspace, Number: h.next, End: time.UnixMilli(end)}
	t.code = own.signer.code(t)
	return t, nil
}

// full returns why no further request can be begun, or "".
func (h *Home) full() Reason {
	if h.Entries() >= h.options.MaxEntries {
		return ReasonTableFull
	}
	if h.charged+h.options.AnswerReserve > h.options.MaxAnswerBytes {
		return ReasonAnswersFull
	}
	return ""
}

// Entries returns the number of used tickets.
func (h *Home) Entries() int { return len(h.open) + len(h.settled) }

// AnswerBytes returns the bytes of stored answers and of reserves.
func (h *Home) AnswerBytes() int { return h.charged }

// InProgress returns the number of requests that this home still runs.
func (h *Home) InProgress() int { return len(h.open) }

// Use is a request that came with a ticket.
type Use struct {
	Ticket      Ticket
	Workspace   string // of the key that came with the request
	Fingerprint Fingerprint
	Deadline    time.Time // when the request's time is over
}

// Begin decides what happens to a request.
func (h *Home) Begin(now time.Time, use Use) Decision {
	t := use.Ticket
	d := Decision{Key: t.Key()}
	from := h.origins[t.Owner]
	switch {
	case from == nil:
		return d.with(WrongHome, ReasonIssuedElsewhere).at(t.Owner)
	case !from.signer.verify(t):
		return d.with(Invalid, ReasonBadCode).executed(problem.ExecutedNo)
	case t.Workspace != use.Workspace:
		return d.with(Invalid, ReasonOtherWorkspace).executed(problem.ExecutedNo)
	}
	if e := h.find(d.Key); e != nil {
		return h.repeat(d, e, use)
	}
	end := t.End.UnixMilli()
	switch {
	case h.phase == phaseHandedOver:
		return d.with(WrongHome, ReasonHandedOver).at(h.successor)
	case h.phase == phaseSealed:
		return d.with(Moving, ReasonMoving)
	case end < from.horizon:
		return d.with(Expired, ReasonForgotten).executed(problem.ExecutedUnknown)
	case !now.Before(t.End):
		return d.with(Expired, ReasonExpired).executed(problem.ExecutedNo)
	}
	if reason := h.full(); reason != "" {
		return d.with(Full, reason).executed(problem.ExecutedNo)
	}
	h.open[d.Key] = &entry{
		state:       stateOpen,
		fingerprint: use.Fingerprint,
		end:         end,
		deadline:    use.Deadline,
		charged:     h.options.AnswerReserve,
	}
	h.charged += h.options.AnswerReserve
	return d.with(Dispatch, ReasonUnused)
}

func (h *Home) find(key Key) *entry {
	if e := h.open[key]; e != nil {
		return e
	}
	return h.settled[key]
}

// repeat decides about a ticket that is in use or was used.
func (h *Home) repeat(d Decision, e *entry, use Use) Decision {
	if e.state != stateHeld && e.fingerprint != use.Fingerprint {
		return d.with(Conflict, ReasonOtherRequest).executed(problem.ExecutedNo)
	}
	switch e.state {
	case stateAnswered:
		if e.response == nil {
			return d.with(Unknown, ReasonAnswerTooLarge).executed(problem.ExecutedUnknown)
		}
		d.Response = e.response
		return d.with(Replay, ReasonStored)
	case stateUnknown:
		return d.with(Unknown, e.reason).executed(problem.ExecutedUnknown)
	case stateHeld:
		return d.with(WrongHome, ReasonHeldByOldHome).at(e.holder)
	case stateReleased:
		return d.with(Moving, ReasonMoving)
	}
	return d.with(InProgress, ReasonRunning)
}

func (d Decision) with(outcome Outcome, reason Reason) Decision {
	d.Outcome, d.Reason = outcome, reason
	return d
}

func (d Decision) at(home Owner) Decision {
	d.Home = home
	return d
}

func (d Decision) executed(executed problem.Executed) Decision {
	d.Executed = executed
	return d
}

// Dispatched records an attempt. It must succeed before the attempt is sent:
// it is the check that no other attempt of the request may run.
func (h *Home) Dispatched(key Key, attempt wire.AttemptID, upstream string) error {
	e := h.open[key]
	switch {
	case e == nil:
		return &Error{Reason: ReasonNotInProgress}
	case e.state != stateOpen:
		return &Error{Reason: ReasonDispatched}
	}
	e.state, e.attempt, e.upstream = stateDispatched, attempt, upstream
	return nil
}

// Proof shows that an attempt never ran and never will.
type Proof uint8

// The proofs. The zero value is none.
const (
	// ProofFenced: the executing daemon confirmed a fence for the attempt.
	ProofFenced Proof = iota + 1
	// ProofRefused: the executing daemon refused the attempt before it was
	// handed to the backend server, with executed "no".
	ProofRefused
	// ProofNotSent: the attempt was never written to a link.
	ProofNotSent
)

// NotExecuted allows another dispatch after the attempt was proven not to run.
func (h *Home) NotExecuted(key Key, attempt wire.AttemptID, proof Proof) error {
	e, err := h.dispatched(key, attempt)
	if err != nil {
		return err
	}
	if proof < ProofFenced || proof > ProofNotSent {
		return &Error{Reason: ReasonNoProof}
	}
	e.state, e.attempt, e.upstream = stateOpen, wire.AttemptID{}, ""
	return nil
}

// dispatched returns the entry whose current attempt is the given one.
func (h *Home) dispatched(key Key, attempt wire.AttemptID) (*entry, error) {
	e := h.open[key]
	if e == nil || e.state != stateDispatched {
		return nil, &Error{Reason: ReasonNotInProgress}
	}
	if e.attempt != attempt {
		return nil, &Error{Reason: ReasonOtherAttempt}
	}
	return e, nil
}

// Release ends a request that was refused and did not run. Its ticket is then
// unused again, so that refused requests take no memory and the caller can
// repeat the request with the same ticket.
func (h *Home) Release(key Key) error {
	e := h.open[key]
	if e == nil {
		return &Error{Reason: ReasonNotInProgress}
	}
	if e.state != stateOpen {
		return &Error{Reason: ReasonDispatched}
	}
	delete(h.open, key)
	h.charge(e, 0)
	if h.phase != phaseServing {
		e.state = stateReleased
		h.settle(key, e)
	}
	return nil
}

// Complete stores the answer of an attempt; response must not be changed
// afterwards. The error tells that the answer belongs to no current attempt
// and must not be delivered. An answer for which there is no room counts as
// run, and repeats get the outcome Unknown.
func (h *Home) Complete(key Key, attempt wire.AttemptID, response *wire.Response) error {
	e, err := h.dispatched(key, attempt)
	if err != nil {
		return err
	}
	size := ResponseSize(response)
	if h.charged-e.charged+size > h.options.MaxAnswerBytes {
		response, size = nil, 0
	}
	delete(h.open, key)
	e.state, e.response = stateAnswered, response
	h.charge(e, size)
	h.settle(key, e)
	return nil
}

// MarkUnknown ends a request that may have run. It is never run again.
func (h *Home) MarkUnknown(key Key, attempt wire.AttemptID, reason Reason) error {
	e, err := h.dispatched(key, attempt)
	if err != nil {
		return err
	}
	h.markUnknown(key, e, reason)
	return nil
}

func (h *Home) markUnknown(key Key, e *entry, reason Reason) {
	delete(h.open, key)
	e.state, e.reason = stateUnknown, reason
	h.charge(e, 0)
	h.settle(key, e)
}

// charge sets the bytes that e counts against the limit.
func (h *Home) charge(e *entry, size int) {
	h.charged += size - e.charged
	e.charged = size
}

// settle files an entry that is no longer in progress here.
func (h *Home) settle(key Key, e *entry) {
	h.settled[key] = e
	second := e.end / 1000
	h.expiry[second] = append(h.expiry[second], key)
	if h.phase != phaseServing {
		h.late[key] = e
	}
}

// Swept is a request that Sweep ended, for the daemon to tell its callers.
type Swept struct {
	Key     Key
	Unknown bool // false: it was not dispatched and its ticket is unused again
}

// Sweep ends requests in progress whose deadline has passed and forgets used
// tickets after their end and the retention. Call it about once a second.
func (h *Home) Sweep(now time.Time) []Swept {
	var swept []Swept
	for key, e := range h.open {
		if now.Before(e.deadline) {
			continue
		}
		if e.state == stateDispatched {
			h.markUnknown(key, e, ReasonDeadline)
			swept = append(swept, Swept{Key: key, Unknown: true})
		} else if h.Release(key) == nil {
			swept = append(swept, Swept{Key: key})
		}
	}
	h.forget(now.Add(-h.options.Retention).Unix())
	return swept
}

// forget drops settled entries that ended before the given second, and
// origins all of whose tickets did.
func (h *Home) forget(second int64) {
	for end, keys := range h.expiry {
		if end >= second {
			continue
		}
		for _, key := range keys {
			// A request of the same ticket may be in progress again, or its
			// hand-over may be outstanding.
			if e := h.settled[key]; e != nil && h.late[key] == nil {
				h.charge(e, 0)
				delete(h.settled, key)
				from := h.origins[key.Owner]
				from.horizon = max(from.horizon, (end+1)*1000)
			}
		}
		delete(h.expiry, end)
	}
	for owner, from := range h.origins {
		if owner != h.self && from.lastEnd < second*1000 {
			delete(h.origins, owner)
		}
	}
}

// Origins returns the incarnations whose tickets this home serves, for its
// member record: daemons find the successor of an ended home there.
func (h *Home) Origins() []Owner {
	owners := make([]Owner, 0, len(h.origins))
	for owner := range h.origins {
		owners = append(owners, owner)
	}
	return owners
}
