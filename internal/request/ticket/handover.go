package ticket

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
)

// The hand-over of a table at a planned stop:
//
//  1. Export seals the table: it issues no ticket, and Begin accepts no unused
//     one. The first export has the secrets and all retained entries. Requests in
//     progress are listed as held by this daemon: only it may dispatch
//     them, and the successor forwards their repeats to it.
//  2. Confirm is called once the successor has imported all parts. It removes
//     the exported entries; from then on Begin refers requests with these or
//     unused tickets to the successor.
//  3. Further exports carry the requests that have ended since, until
//     HandoverComplete returns true.
//
// If this daemon terminates before step 3 is complete, the successor calls
// MarkHeldUnknown, and the outcome of the requests that were still held becomes
// unknown.

// MaxPartBytes bounds an encoded part of an export.
const MaxPartBytes = 1 << 20

const (
	partOverhead = 512 // bytes reserved for the fields of a part other than Data
	// maxParts bounds the number of parts of an export and so, together with
	// MaxPartBytes, the memory of an incomplete import.
	maxParts = 64
	// maxImports bounds the number of incomplete imports, one per sender.
	maxImports = 4
	// maxExportEntries bounds the length of each array in a decoded export.
	maxExportEntries = 1 << 20
)

// EncodedExport is an export, encoded and split into parts.
type EncodedExport struct {
	Serial     uint64
	Parts      [][]byte
	Unfinished int // number of requests in progress, which a later export will carry
}

// Import is the result of importing a part.
type Import struct {
	From   DaemonID
	Serial uint64
	Done   bool // the export is imported completely and may be confirmed
}

// exportPart is the encoding of a part: a chunk of an encoded exportDocument.
type exportPart struct {
	From   DaemonID `cbor:"1,keyasint"`
	Serial uint64   `cbor:"2,keyasint"`
	Index  int      `cbor:"3,keyasint"`
	Total  int      `cbor:"4,keyasint"`
	Data   []byte   `cbor:"5,keyasint"`
}

// exportDocument is the content of an export.
type exportDocument struct {
	Previous        uint64           `cbor:"1,keyasint"` // serial of the last confirmed export, 0 for the first
	Issuers         []issuerDocument `cbor:"2,keyasint"`
	Entries         []entryDocument  `cbor:"3,keyasint"`
	Refused         []Key            `cbor:"4,keyasint,omitempty"`
	RefusedExpiries []int64          `cbor:"5,keyasint,omitempty"` // when each ticket in Refused expires, in Unix milliseconds
}

// add appends the state of a ticket that is not in progress: as refused if its request
// was refused, otherwise as an entry.
func (d *exportDocument) add(key Key, e *entry, refused bool) {
	if refused {
		d.Refused, d.RefusedExpiries = append(d.Refused, key), append(d.RefusedExpiries, e.expiry)
		return
	}
	d.Entries = append(d.Entries, newEntryDocument(key, e))
}

// issuerDocument is the encoding of an issuer, without its refused tickets.
type issuerDocument struct {
	Issuer        DaemonID `cbor:"1,keyasint"`
	Secret        []byte   `cbor:"2,keyasint"`
	LastExpiry    int64    `cbor:"3,keyasint"`
	EvictedBefore int64    `cbor:"4,keyasint"`
	LastImported  uint64   `cbor:"5,keyasint"`
}

// entryDocument is the encoding of an entry.
type entryDocument struct {
	Key         Key            `cbor:"1,keyasint"`
	State       state          `cbor:"2,keyasint"`
	Reason      Reason         `cbor:"3,keyasint,omitempty"`
	Fingerprint []byte         `cbor:"4,keyasint"`
	Expiry      int64          `cbor:"5,keyasint"`
	Response    *wire.Response `cbor:"6,keyasint,omitempty"`
	Holder      DaemonID       `cbor:"7,keyasint"`
}

// partialImport collects the received parts of one export.
type partialImport struct {
	serial   uint64
	parts    [][]byte
	received int
}

// Export returns the state that the successor does not have yet. Until this
// export is confirmed, further calls return it again. Once the first export is
// confirmed, another successor may be named: the one to which the first
// successor has handed its own table over.
func (t *Table) Export(successor DaemonID) (EncodedExport, error) {
	if t.phase == phaseSealed && successor != t.successor {
		return EncodedExport{}, &Error{Reason: ReasonHandoverState}
	}
	if t.pendingExport == nil {
		if err := t.prepareExport(); err != nil {
			return EncodedExport{}, err
		}
		if t.phase == phaseServing {
			t.phase = phaseSealed
		}
	}
	t.successor = successor
	t.pendingExport.Unfinished = len(t.inProgress)
	return *t.pendingExport, nil
}

// prepareExport sets pendingExport: the whole table for the first export, else the
// tickets whose state has changed since.
func (t *Table) prepareExport() error {
	doc := exportDocument{Previous: t.confirmedSerial}
	var keys []Key
	if t.phase == phaseServing {
		for _, id := range t.Issuers() {
			issuer := t.issuers[id]
			doc.Issuers = append(doc.Issuers, issuerDocument{
				Issuer: id, Secret: issuer.secret[:], LastExpiry: issuer.lastExpiry,
				EvictedBefore: issuer.evictedBefore, LastImported: issuer.lastImported,
			})
		}
		for _, key := range sortedKeys(t.retained) {
			doc.add(key, t.retained[key], false)
			keys = append(keys, key)
		}
		for _, expiry := range slices.Sorted(maps.Keys(t.byExpiry)) {
			for _, key := range t.byExpiry[expiry] {
				if t.issuers[key.Issuer] != nil && t.isRefused(key) {
					// The expiry of a refused ticket is only known to the second.
					doc.add(key, &entry{expiry: expiry * 1000}, true)
					keys = append(keys, key)
				}
			}
		}
		for _, key := range sortedKeys(t.inProgress) {
			held := newEntryDocument(key, t.inProgress[key])
			held.State, held.Holder = stateHeld, t.self
			doc.Entries = append(doc.Entries, held)
		}
	} else {
		for _, key := range sortedKeys(t.awaitingExport) {
			doc.add(key, t.awaitingExport[key], t.isRefused(key))
			keys = append(keys, key)
		}
	}
	parts, err := encodeParts(t.self, t.lastSerial+1, doc)
	if err != nil {
		return err
	}
	t.lastSerial++
	t.pendingExport, t.pendingKeys = &EncodedExport{Serial: t.lastSerial, Parts: parts}, keys
	return nil
}

func sortedKeys(entries map[Key]*entry) []Key {
	return slices.SortedFunc(maps.Keys(entries), compareKeys)
}

func newEntryDocument(key Key, e *entry) entryDocument {
	return entryDocument{
		Key: key, State: e.state, Reason: e.reason, Fingerprint: e.fingerprint[:],
		Expiry: e.expiry, Response: e.response, Holder: e.holder,
	}
}

// encodeParts splits the encoded document into parts. A part may end within an
// entry, since one response can be larger than a part.
func encodeParts(from DaemonID, serial uint64, doc exportDocument) ([][]byte, error) {
	data, err := cbor.Marshal(doc)
	if err != nil {
		return nil, &Error{Reason: ReasonExportInvalid, Err: err}
	}
	const size = MaxPartBytes - partOverhead
	total := (len(data) + size - 1) / size
	parts := make([][]byte, 0, total)
	for i := range total {
		chunk := data[i*size : min((i+1)*size, len(data))]
		encoded, err := cbor.Marshal(exportPart{From: from, Serial: serial, Index: i, Total: total, Data: chunk})
		if err != nil {
			return nil, &Error{Reason: ReasonExportInvalid, Err: err}
		}
		parts = append(parts, encoded)
	}
	return parts, nil
}

// Confirm records that the successor has imported the whole export with this serial
// number. The successor decides about the exported tickets from then on, so that
// Confirm removes them here.
func (t *Table) Confirm(serial uint64) error {
	if t.pendingExport == nil || t.pendingExport.Serial != serial {
		return &Error{Reason: ReasonHandoverState}
	}
	for _, key := range t.pendingKeys {
		if t.issuers[key.Issuer] != nil {
			t.drop(key)
		}
		delete(t.awaitingExport, key)
	}
	t.phase, t.confirmedSerial = phaseHandedOver, serial
	t.pendingExport, t.pendingKeys = nil, nil
	return nil
}

// Abort cancels a hand-over whose first export is not confirmed, and the table
// serves again. Call it only if the successor cannot have imported the export:
// it refused it, or the last part was never sent. Otherwise both daemons would
// dispatch requests with the same tickets.
func (t *Table) Abort() error {
	if t.phase != phaseSealed {
		return &Error{Reason: ReasonHandoverState}
	}
	t.phase, t.successor = phaseServing, DaemonID{}
	t.pendingExport, t.pendingKeys = nil, nil
	awaitingExport := t.awaitingExport
	t.awaitingExport = map[Key]*entry{}
	for key, e := range awaitingExport {
		switch {
		case t.isRefused(key):
			t.scheduleEviction(e.expiry, key)
		case e.state == stateReleased:
			delete(t.retained, key)
		default:
			t.retain(key, e)
		}
	}
	return nil
}

// HandoverComplete tells whether the successor has the state of all tickets.
func (t *Table) HandoverComplete() bool {
	return t.phase == phaseHandedOver && len(t.inProgress) == 0 && len(t.awaitingExport) == 0
}

var (
	partMode     = mustDecMode(16, 16)
	documentMode = mustDecMode(maxExportEntries, 1024)
)

func mustDecMode(maxElements, maxPairs int) cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  8,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxPairs,
		// Header values may contain any bytes above 0x7f.
		UTF8:        cbor.UTF8DecodeInvalid,
		IndefLength: cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Import receives one part of an export of another daemon. The table does not
// change until all parts have arrived. The export is then imported as a whole,
// or refused with an error, in which case the other daemon keeps its tickets. If
// the export was imported before, Import reports Done again.
func (t *Table) Import(now time.Time, data []byte) (Import, error) {
	if len(data) > MaxPartBytes {
		return Import{}, &Error{Reason: ReasonExportInvalid}
	}
	var p exportPart
	if err := partMode.Unmarshal(data, &p); err != nil {
		return Import{}, &Error{Reason: ReasonExportInvalid, Err: err}
	}
	if p.Total < 1 || p.Total > maxParts || p.Index < 0 || p.Index >= p.Total || p.Serial == 0 || len(p.Data) == 0 || p.From == t.self {
		return Import{}, &Error{Reason: ReasonExportInvalid}
	}
	result := Import{From: p.From, Serial: p.Serial}
	if issuer := t.issuers[p.From]; issuer != nil && p.Serial <= issuer.lastImported {
		result.Done = p.Serial == issuer.lastImported
		return result, nil
	}
	if t.phase != phaseServing {
		return result, &Error{Reason: ReasonHandingOver}
	}
	assembled, err := t.addPart(p)
	if assembled == nil || err != nil {
		return result, err
	}
	var doc exportDocument
	if err := documentMode.Unmarshal(assembled, &doc); err != nil {
		return result, &Error{Reason: ReasonExportInvalid, Err: err}
	}
	if err := t.validate(p.From, doc); err != nil {
		return result, err
	}
	t.merge(now, doc)
	t.issuers[p.From].lastImported = p.Serial
	t.evict(now.Add(-t.options.Retention).Unix())
	result.Done = true
	return result, nil
}

// addPart stores a part and, once all parts of the export have arrived, returns their
// data, else nil. A part of a newer export replaces the parts of an older one.
func (t *Table) addPart(p exportPart) ([]byte, error) {
	a := t.partialImports[p.From]
	if a == nil || a.serial < p.Serial {
		if a == nil && len(t.partialImports) >= maxImports {
			return nil, &Error{Reason: ReasonTableFull}
		}
		a = &partialImport{serial: p.Serial, parts: make([][]byte, p.Total)}
		t.partialImports[p.From] = a
	}
	if a.serial != p.Serial || len(a.parts) != p.Total {
		return nil, &Error{Reason: ReasonExportOrder}
	}
	if a.parts[p.Index] == nil {
		a.parts[p.Index] = p.Data
		a.received++
	}
	if a.received < p.Total {
		return nil, nil
	}
	delete(t.partialImports, p.From)
	assembled := make([]byte, 0, p.Total*len(a.parts[0]))
	for _, chunk := range a.parts {
		assembled = append(assembled, chunk...)
	}
	return assembled, nil
}

// DropImport discards the parts of an incomplete import whose sender has terminated.
func (t *Table) DropImport(from DaemonID) { delete(t.partialImports, from) }

// validate returns an error for a document that is invalid, out of order or too
// large for the table.
func (t *Table) validate(from DaemonID, doc exportDocument) error {
	known := map[DaemonID]bool{}
	for id := range t.issuers {
		known[id] = true
	}
	var last uint64
	if issuer := t.issuers[from]; issuer != nil {
		last = issuer.lastImported
	}
	if doc.Previous != last {
		return &Error{Reason: ReasonExportOrder}
	}
	for _, issuer := range doc.Issuers {
		if len(issuer.Secret) != secretBytes || issuer.Issuer == t.self || issuer.LastExpiry < 0 || issuer.LastExpiry > maxUnixMilli {
			return &Error{Reason: ReasonExportInvalid}
		}
		known[issuer.Issuer] = true
	}
	if !known[from] {
		return &Error{Reason: ReasonExportInvalid}
	}
	entries, bytes := 0, 0
	for i := range doc.Entries {
		e := &doc.Entries[i]
		if !known[e.Key.Issuer] || !e.valid() {
			return &Error{Reason: ReasonExportInvalid}
		}
		if t.find(e.Key) == nil {
			entries++
		}
		bytes += ResponseSize(e.Response)
	}
	if len(doc.RefusedExpiries) != len(doc.Refused) {
		return &Error{Reason: ReasonExportInvalid}
	}
	for i, key := range doc.Refused {
		if !known[key.Issuer] || doc.RefusedExpiries[i] < 0 || doc.RefusedExpiries[i] > maxUnixMilli {
			return &Error{Reason: ReasonExportInvalid}
		}
	}
	if t.EntryCount()+entries > t.options.MaxEntries || t.refused+len(doc.Refused) > t.options.MaxRefused {
		return &Error{Reason: ReasonTableFull}
	}
	if t.chargedBytes+bytes > t.options.MaxResponseBytes {
		return &Error{Reason: ReasonResponsesFull}
	}
	return nil
}

// valid tells whether the fields of an entry are consistent.
func (e *entryDocument) valid() bool {
	switch e.State {
	case stateCompleted, stateUnknown, stateReleased, stateHeld:
	default:
		return false
	}
	return len(e.Fingerprint) == len(Fingerprint{}) &&
		e.Expiry >= 0 && e.Expiry <= maxUnixMilli &&
		(e.Response == nil || e.State == stateCompleted) &&
		(e.State == stateHeld) == (e.Holder != DaemonID{})
}

// merge adds a validated document to the table. An existing entry is newer than
// the document and stays, unless it is held: then the document ends it.
func (t *Table) merge(now time.Time, doc exportDocument) {
	for _, issuer := range doc.Issuers {
		if t.issuers[issuer.Issuer] != nil {
			continue
		}
		// Keep the issuer for as long as the old owner may still finish requests.
		lastExpiry := max(issuer.LastExpiry, now.Add(Lifetime).UnixMilli())
		added := newIssuer(issuer.Secret)
		added.lastExpiry, added.evictedBefore, added.lastImported = lastExpiry, issuer.EvictedBefore, issuer.LastImported
		t.issuers[issuer.Issuer] = added
	}
	for _, d := range doc.Entries {
		old := t.find(d.Key)
		if old != nil && old.state != stateHeld || t.isRefused(d.Key) {
			continue
		}
		delete(t.retained, d.Key)
		if d.State == stateReleased {
			continue
		}
		e := &entry{state: d.State, reason: d.Reason, expiry: d.Expiry, response: d.Response, holder: d.Holder}
		copy(e.fingerprint[:], d.Fingerprint)
		t.charge(e, ResponseSize(d.Response))
		t.retain(d.Key, e)
	}
	for i, key := range doc.Refused {
		if old := t.find(key); old == nil || old.state == stateHeld {
			delete(t.retained, key)
			if !t.isRefused(key) {
				t.rememberRefusal(key, doc.RefusedExpiries[i])
			}
		}
	}
}

// MarkHeldUnknown marks the requests that a former owner still ran when it terminated as
// unknown, and returns their number.
func (t *Table) MarkHeldUnknown(holder DaemonID) int {
	count := 0
	for key, e := range t.retained {
		if e.state == stateHeld && e.holder == holder {
			e.state, e.reason, e.holder = stateUnknown, ReasonOwnerGone, DaemonID{}
			count++
			if t.phase != phaseServing {
				t.awaitingExport[key] = e
			}
		}
	}
	return count
}

// UnfinishedOwners returns the former owners that handed tickets over and still run
// requests with them.
func (t *Table) UnfinishedOwners() []DaemonID {
	seen := map[DaemonID]bool{}
	var holders []DaemonID
	for _, e := range t.retained {
		if e.state == stateHeld && !seen[e.holder] {
			seen[e.holder] = true
			holders = append(holders, e.holder)
		}
	}
	slices.SortFunc(holders, compareDaemons)
	return holders
}
