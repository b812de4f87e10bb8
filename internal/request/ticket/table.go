package ticket

import (
	"cmp"
	"io"
	"slices"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// Options bounds the memory of a Table.
type Options struct {
	// MaxEntries bounds the number of used tickets.
	MaxEntries int
	// MaxRefused bounds the number of tickets whose request was refused and did
	// not run. They do not count against MaxEntries, so that refusals under
	// overload do not use up the room for requests that run.
	MaxRefused int
	// MaxResponseBytes bounds the size of the stored responses, as counted by
	// ResponseSize.
	MaxResponseBytes int
	// ResponseReserve bytes are reserved for each request in progress. A response
	// up to this size is always stored; a larger one only if there is room.
	ResponseReserve int
	// Retention is the time for which a used ticket is kept after it expires, so
	// that late repeats still get the stored response.
	Retention time.Duration
}

// DefaultOptions allows 60 requests/s that run and 90/s that are refused, for
// the 330 s of Lifetime and Retention. An entry takes 274 bytes and a refused
// ticket 82 to 96 bytes.
func DefaultOptions() Options {
	return Options{MaxEntries: 20_000, MaxRefused: 30_000, MaxResponseBytes: 6 << 20, ResponseReserve: 4 << 10, Retention: 30 * time.Second}
}

type state uint8

const (
	stateBegun      state = iota + 1 // in progress; no attempt is dispatched
	stateDispatched                  // in progress; an attempt may run
	stateCompleted                   // has run; the response is stored unless it was too large
	stateUnknown                     // may have run
	// stateReleased: the request was refused during a hand-over and has not run. The
	// next export makes the successor remove its held entry and, if the refusal was
	// remembered, refuse the ticket. Otherwise the ticket counts as unused there.
	stateReleased
	stateHeld // a former owner handed the ticket over and still runs the request
)

// entry is the state of one used ticket.
type entry struct {
	state        state
	reason       Reason // for stateUnknown
	fingerprint  Fingerprint
	expiry       int64          // of the ticket, in Unix milliseconds
	deadline     time.Time      // of the request
	attempt      wire.AttemptID // for stateDispatched: the attempt that may run
	upstream     string         // for stateDispatched: to which the attempt is sent
	response     *wire.Response
	chargedBytes int      // bytes counted against MaxResponseBytes
	holder       DaemonID // for stateHeld: the former owner that runs the request
}

// issuer is a daemon incarnation about whose tickets this table decides: the table's own
// daemon, or one that handed its table over.
type issuer struct {
	secret     [secretBytes]byte
	signer     *signer
	lastExpiry int64 // latest expiry of its tickets, in Unix milliseconds
	// refused has the numbers of its tickets whose request was refused. A refused
	// ticket stays refused: otherwise a delayed copy of the request could run
	// after its caller was told that it did not.
	refused map[uint64]struct{}
	// The state of tickets that expire before evictedBefore (Unix milliseconds) may
	// have been evicted. Such a ticket counts as expired, even if the wall clock
	// is set back, since its request may have run.
	evictedBefore int64
	lastImported  uint64 // serial number of the last export imported from this issuer
}

type phase uint8

const (
	phaseServing    phase = iota
	phaseSealed           // the first export is made but not confirmed
	phaseHandedOver       // the successor has confirmed the first export
)

// Table is the idempotency table of one daemon incarnation: the state of all
// tickets about which this daemon decides.
type Table struct {
	self       DaemonID
	options    Options
	lastNumber uint64 // number of the last issued ticket
	issuers    map[DaemonID]*issuer
	// inProgress has the entries of requests in progress here, retained has all
	// others.
	inProgress   map[Key]*entry
	retained     map[Key]*entry
	byExpiry     map[int64][]Key // retained and refused tickets, by the Unix second in which they expire
	refused      int             // number of refused tickets of all issuers
	chargedBytes int             // bytes counted against MaxResponseBytes

	phase           phase
	successor       DaemonID                    // to which the table is handed over
	lastSerial      uint64                      // serial number of the last export
	confirmedSerial uint64                      // serial number of the last confirmed export, or 0
	pendingExport   *EncodedExport              // the last export, until it is confirmed
	pendingKeys     []Key                       // tickets about which the successor decides once pendingExport is confirmed
	awaitingExport  map[Key]*entry              // changed since the first export; the next export carries them
	partialImports  map[DaemonID]*partialImport // by sender
}

// NewTable returns an empty table with a new secret from random.
func NewTable(self DaemonID, options Options, random io.Reader) (*Table, error) {
	if len(self.Member) > maxNameBytes {
		return nil, &Error{Reason: ReasonNameTooLong}
	}
	var secret [secretBytes]byte
	if _, err := io.ReadFull(random, secret[:]); err != nil {
		return nil, &Error{Reason: ReasonRandom, Err: err}
	}
	t := &Table{
		self:           self,
		options:        options,
		issuers:        map[DaemonID]*issuer{},
		inProgress:     map[Key]*entry{},
		retained:       map[Key]*entry{},
		byExpiry:       map[int64][]Key{},
		awaitingExport: map[Key]*entry{},
		partialImports: map[DaemonID]*partialImport{},
	}
	t.issuers[self] = newIssuer(secret[:])
	return t, nil
}

func newIssuer(secret []byte) *issuer {
	created := &issuer{signer: newSigner(secret), refused: map[uint64]struct{}{}}
	copy(created.secret[:], secret)
	return created
}

// Issue returns a new ticket. A ticket takes memory only once it is used.
func (t *Table) Issue(now time.Time, workspace string) (Ticket, error) {
	if t.phase != phaseServing {
		return Ticket{}, &Error{Reason: ReasonHandingOver}
	}
	if len(workspace) > maxNameBytes {
		return Ticket{}, &Error{Reason: ReasonNameTooLong}
	}
	if reason := t.capacityReason(); reason != "" {
		return Ticket{}, &Error{Reason: reason}
	}
	t.lastNumber++
	own := t.issuers[t.self]
	expiry := now.Add(Lifetime).UnixMilli()
	own.lastExpiry = max(own.lastExpiry, expiry)
	issued := Ticket{Issuer: t.self, Workspace: workspace, Number: t.lastNumber, Expiry: time.UnixMilli(expiry)}
	issued.mac = own.signer.mac(issued)
	return issued, nil
}

// capacityReason returns why the table has no room for another request, or "".
func (t *Table) capacityReason() Reason {
	if t.EntryCount() >= t.options.MaxEntries {
		return ReasonTableFull
	}
	if t.chargedBytes+t.options.ResponseReserve > t.options.MaxResponseBytes {
		return ReasonResponsesFull
	}
	return ""
}

// RefusedCount returns the number of refused tickets in the table.
func (t *Table) RefusedCount() int { return t.refused }

// EntryCount returns the number of used tickets in the table, without refused ones.
func (t *Table) EntryCount() int { return len(t.inProgress) + len(t.retained) }

// ResponseBytes returns the size of stored responses and of the reserves for
// requests in progress.
func (t *Table) ResponseBytes() int { return t.chargedBytes }

// InProgressCount returns the number of requests that this daemon still runs.
func (t *Table) InProgressCount() int { return len(t.inProgress) }

// TicketedRequest is a request that presents a ticket.
type TicketedRequest struct {
	Ticket      Ticket
	Workspace   string // of the key that came with the request
	Fingerprint Fingerprint
	Deadline    time.Time // of the request
}

// Begin decides how to proceed with a request that presents a ticket. For the outcome
// Dispatch, it registers the request as in progress.
func (t *Table) Begin(now time.Time, request TicketedRequest) Decision {
	presented := request.Ticket
	d := Decision{Key: presented.Key()}
	issuer := t.issuers[presented.Issuer]
	switch {
	case issuer == nil:
		return d.with(NotOwner, ReasonIssuedElsewhere).forwardTo(presented.Issuer)
	case !issuer.signer.verify(presented):
		return d.with(Invalid, ReasonBadMAC).executed(problem.ExecutedNo)
	case presented.Workspace != request.Workspace:
		return d.with(Invalid, ReasonOtherWorkspace).executed(problem.ExecutedNo)
	}
	if e := t.find(d.Key); e != nil {
		return t.decideRepeat(d, e, request)
	}
	if _, ok := issuer.refused[presented.Number]; ok {
		return d.with(Refused, ReasonRefused).executed(problem.ExecutedNo)
	}
	expiry := presented.Expiry.UnixMilli()
	switch {
	case t.phase == phaseHandedOver:
		return d.with(NotOwner, ReasonHandedOver).forwardTo(t.successor)
	case t.phase == phaseSealed:
		return d.with(HandingOver, ReasonHandingOver)
	case expiry < issuer.evictedBefore:
		return d.with(Expired, ReasonForgotten).executed(problem.ExecutedUnknown)
	case !now.Before(presented.Expiry):
		return d.with(Expired, ReasonExpired).executed(problem.ExecutedNo)
	}
	if reason := t.capacityReason(); reason != "" {
		return d.with(Full, reason).executed(t.rememberRefusal(d.Key, expiry))
	}
	t.inProgress[d.Key] = &entry{
		state:        stateBegun,
		fingerprint:  request.Fingerprint,
		expiry:       expiry,
		deadline:     request.Deadline,
		chargedBytes: t.options.ResponseReserve,
	}
	t.chargedBytes += t.options.ResponseReserve
	return d.with(Dispatch, ReasonUnused)
}

func (t *Table) find(key Key) *entry {
	if e := t.inProgress[key]; e != nil {
		return e
	}
	return t.retained[key]
}

// decideRepeat decides how to proceed with a request whose ticket has an entry.
func (t *Table) decideRepeat(d Decision, e *entry, request TicketedRequest) Decision {
	if e.state != stateHeld && e.fingerprint != request.Fingerprint {
		return d.with(Conflict, ReasonOtherRequest).executed(problem.ExecutedNo)
	}
	switch e.state {
	case stateCompleted:
		if e.response == nil {
			return d.with(Unknown, ReasonResponseTooLarge).executed(problem.ExecutedUnknown)
		}
		d.Response = e.response
		return d.with(Replay, ReasonResponseStored)
	case stateUnknown:
		return d.with(Unknown, e.reason).executed(problem.ExecutedUnknown)
	case stateHeld:
		return d.with(NotOwner, ReasonHeldByOldOwner).forwardTo(e.holder)
	case stateReleased:
		return d.with(HandingOver, ReasonHandingOver)
	}
	return d.with(InProgress, ReasonRunning)
}

func (d Decision) with(outcome Outcome, reason Reason) Decision {
	d.Outcome, d.Reason = outcome, reason
	return d
}

func (d Decision) forwardTo(owner DaemonID) Decision {
	d.Owner = owner
	return d
}

func (d Decision) executed(executed problem.Executed) Decision {
	d.Executed = executed
	return d
}

// RecordAttempt records an attempt. Call it before the attempt is sent, and send it
// only if RecordAttempt succeeds: it fails while another attempt of the request may
// run.
func (t *Table) RecordAttempt(key Key, attempt wire.AttemptID, upstream string) error {
	e := t.inProgress[key]
	switch {
	case e == nil:
		return &Error{Reason: ReasonNotInProgress}
	case e.state != stateBegun:
		return &Error{Reason: ReasonDispatched}
	}
	e.state, e.attempt, e.upstream = stateDispatched, attempt, upstream
	return nil
}

// Proof states how it is proven that an attempt has not run and never will.
type Proof uint8

// The proofs. The zero value is none.
const (
	// ProofFenced: the executing daemon confirmed that it fenced the attempt off.
	ProofFenced Proof = iota + 1
	// ProofRefused: the executing daemon refused the attempt, with executed
	// "no", before it passed it to the backend server.
	ProofRefused
	// ProofNotSent: the attempt was never written to a link.
	ProofNotSent
)

// AttemptNotRun allows another attempt, given proof that this one has not run and never
// will.
func (t *Table) AttemptNotRun(key Key, attempt wire.AttemptID, proof Proof) error {
	e, err := t.currentAttempt(key, attempt)
	if err != nil {
		return err
	}
	if proof < ProofFenced || proof > ProofNotSent {
		return &Error{Reason: ReasonNoProof}
	}
	e.state, e.attempt, e.upstream = stateBegun, wire.AttemptID{}, ""
	return nil
}

// currentAttempt returns the entry of the ticket, or an error unless the attempt is the
// one that is dispatched for it.
func (t *Table) currentAttempt(key Key, attempt wire.AttemptID) (*entry, error) {
	e := t.inProgress[key]
	if e == nil || e.state != stateDispatched {
		return nil, &Error{Reason: ReasonNotInProgress}
	}
	if e.attempt != attempt {
		return nil, &Error{Reason: ReasonOtherAttempt}
	}
	return e, nil
}

// Refuse ends a request that has not run. Its ticket is refused from then on; to
// repeat the request, the caller needs a new ticket, which the refusal can carry.
// Refuse returns what the refusal must state about the execution. That is "no" only
// if the refusal could be remembered. Otherwise the ticket counts as unused again,
// and a delayed copy of the request may still run.
func (t *Table) Refuse(key Key) (problem.Executed, error) {
	e := t.inProgress[key]
	if e == nil {
		return problem.ExecutedUnknown, &Error{Reason: ReasonNotInProgress}
	}
	if e.state != stateBegun {
		return problem.ExecutedUnknown, &Error{Reason: ReasonDispatched}
	}
	delete(t.inProgress, key)
	t.charge(e, 0)
	executed := t.rememberRefusal(key, e.expiry)
	if t.phase != phaseServing {
		e.state = stateReleased
		if executed == problem.ExecutedNo {
			t.awaitingExport[key] = e
		} else {
			t.retain(key, e)
		}
	}
	return executed, nil
}

// rememberRefusal remembers that a ticket is refused, if there is room, and returns
// what the refusal must state about the execution.
func (t *Table) rememberRefusal(key Key, expiry int64) problem.Executed {
	if t.refused >= t.options.MaxRefused {
		return problem.ExecutedUnknown
	}
	t.issuers[key.Issuer].refused[key.Number] = struct{}{}
	t.refused++
	t.scheduleEviction(expiry, key)
	return problem.ExecutedNo
}

// isRefused tells whether a ticket of a known issuer was refused.
func (t *Table) isRefused(key Key) bool {
	_, ok := t.issuers[key.Issuer].refused[key.Number]
	return ok
}

// forgetRefusal removes a ticket from the refused ones, if it is one of them.
func (t *Table) forgetRefusal(key Key) {
	if t.isRefused(key) {
		delete(t.issuers[key.Issuer].refused, key.Number)
		t.refused--
	}
}

// scheduleEviction makes evict remove the state of a ticket once Retention has passed
// since its expiry, which is given in Unix milliseconds.
func (t *Table) scheduleEviction(expiry int64, key Key) {
	t.byExpiry[expiry/1000] = append(t.byExpiry[expiry/1000], key)
}

// Complete ends a request and stores the response of its attempt, which must not
// be changed afterwards. If it returns an error, the attempt is not the current
// one and its response must not be delivered. If there is no room for the
// response, the request counts as run and repeats get the outcome Unknown.
func (t *Table) Complete(key Key, attempt wire.AttemptID, response *wire.Response) error {
	e, err := t.currentAttempt(key, attempt)
	if err != nil {
		return err
	}
	size := ResponseSize(response)
	if t.chargedBytes-e.chargedBytes+size > t.options.MaxResponseBytes {
		response, size = nil, 0
	}
	delete(t.inProgress, key)
	e.state, e.response = stateCompleted, response
	t.charge(e, size)
	t.retain(key, e)
	return nil
}

// MarkUnknown ends a request that may have run, so that it is never run again.
func (t *Table) MarkUnknown(key Key, attempt wire.AttemptID, reason Reason) error {
	e, err := t.currentAttempt(key, attempt)
	if err != nil {
		return err
	}
	t.markUnknown(key, e, reason)
	return nil
}

func (t *Table) markUnknown(key Key, e *entry, reason Reason) {
	delete(t.inProgress, key)
	e.state, e.reason = stateUnknown, reason
	t.charge(e, 0)
	t.retain(key, e)
}

// charge sets the number of bytes that e counts against MaxResponseBytes.
func (t *Table) charge(e *entry, size int) {
	t.chargedBytes += size - e.chargedBytes
	e.chargedBytes = size
}

// retain stores an entry that is no longer in progress here.
func (t *Table) retain(key Key, e *entry) {
	t.retained[key] = e
	t.scheduleEviction(e.expiry, key)
	if t.phase != phaseServing {
		t.awaitingExport[key] = e
	}
}

// EndedRequest is a request that Sweep ended and whose callers the daemon has to answer.
type EndedRequest struct {
	Key Key
	// Executed is what the refusal to the callers must state.
	Executed problem.Executed
}

// Sweep ends requests in progress whose deadline has passed and evicts used
// tickets that expired more than Retention ago. Call it about once a second.
func (t *Table) Sweep(now time.Time) []EndedRequest {
	var overdue []Key
	for key, e := range t.inProgress {
		if !now.Before(e.deadline) {
			overdue = append(overdue, key)
		}
	}
	slices.SortFunc(overdue, compareKeys)
	var swept []EndedRequest
	for _, key := range overdue {
		e := t.inProgress[key]
		if e.state == stateDispatched {
			t.markUnknown(key, e, ReasonDeadline)
			swept = append(swept, EndedRequest{Key: key, Executed: problem.ExecutedUnknown})
		} else if executed, err := t.Refuse(key); err == nil {
			swept = append(swept, EndedRequest{Key: key, Executed: executed})
		}
	}
	t.evict(now.Add(-t.options.Retention).Unix())
	return swept
}

// evict removes retained entries and refused tickets that expired before the given
// Unix second, and issuers all of whose tickets did.
func (t *Table) evict(second int64) {
	for expiry, keys := range t.byExpiry {
		if expiry >= second {
			continue
		}
		for _, key := range keys {
			issuer := t.issuers[key.Issuer]
			if issuer == nil || t.awaitingExport[key] != nil {
				continue // the issuer is gone, or the successor still needs the state
			}
			t.drop(key)
			issuer.evictedBefore = max(issuer.evictedBefore, (expiry+1)*1000)
		}
		delete(t.byExpiry, expiry)
	}
	for id, issuer := range t.issuers {
		if id != t.self && issuer.lastExpiry < second*1000 && t.phase == phaseServing && !t.hasInProgress(id) {
			delete(t.issuers, id)
		}
	}
}

// hasInProgress tells whether a request with a ticket of the issuer is in progress.
func (t *Table) hasInProgress(id DaemonID) bool {
	for key := range t.inProgress {
		if key.Issuer == id {
			return true
		}
	}
	return false
}

// drop removes the state of a ticket that is not in progress.
func (t *Table) drop(key Key) {
	if e := t.retained[key]; e != nil {
		t.charge(e, 0)
		delete(t.retained, key)
	}
	t.forgetRefusal(key)
}

// Issuers returns the daemon incarnations about whose tickets this table decides. The
// daemon publishes them in its member record, where others look up the successor of
// an owner that has terminated.
func (t *Table) Issuers() []DaemonID {
	ids := make([]DaemonID, 0, len(t.issuers))
	for id := range t.issuers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareDaemons)
	return ids
}

// compareDaemons orders daemons. Results are sorted with it and with compareKeys, so
// that they do not depend on the iteration order of maps and a simulation with a
// fixed seed is reproducible.
func compareDaemons(a, b DaemonID) int {
	return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Incarnation, b.Incarnation))
}

func compareKeys(a, b Key) int {
	return cmp.Or(compareDaemons(a.Issuer, b.Issuer), cmp.Compare(a.Number, b.Number))
}
