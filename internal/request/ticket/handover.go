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
//  1. Export seals the table: no ticket is issued and no unused ticket is used.
//     The first export has the secrets and all settled entries; requests in
//     progress are named as held by this home, which alone may still dispatch
//     them, and the successor sends their repeats here.
//  2. Confirm, once the successor took all parts, forgets the exported entries
//     and names the successor for them and for unused tickets.
//  3. Further exports carry the requests that have ended since, until Done.
//
// If this home ends before step 3, the successor calls HolderGone and the
// requests that are still held become unknown.

// MaxPartBytes bounds an encoded part of an export.
const MaxPartBytes = 1 << 20

const (
	partOverhead = 512 // bytes for the fields of a part other than its data
	// maxParts bounds the memory of an incomplete import.
	maxParts = 64
	// maxImports bounds the incomplete imports from different daemons.
	maxImports = 4
	// maxSnapshotEntries bounds the entries of a decoded export.
	maxSnapshotEntries = 1 << 20
)

// Snapshot is one encoded export.
type Snapshot struct {
	Serial     uint64
	Parts      [][]byte
	Unfinished int // requests in progress, which a later export will carry
}

// Import is the result of taking a part.
type Import struct {
	From   Owner
	Serial uint64
	Done   bool // the whole export was taken and may be confirmed
}

type part struct {
	From   Owner  `cbor:"1,keyasint"`
	Serial uint64 `cbor:"2,keyasint"`
	Index  int    `cbor:"3,keyasint"`
	Total  int    `cbor:"4,keyasint"`
	Data   []byte `cbor:"5,keyasint"`
}

type document struct {
	Previous uint64           `cbor:"1,keyasint"` // serial of the export before, 0 for the first
	Origins  []originDocument `cbor:"2,keyasint"`
	Entries  []entryDocument  `cbor:"3,keyasint"`
	Refused  []Key            `cbor:"4,keyasint,omitempty"`
	Ends     []int64          `cbor:"5,keyasint,omitempty"` // of Refused
}

// add describes a ticket that is not in progress.
func (d *document) add(key Key, e *entry, refused bool) {
	if refused {
		d.Refused, d.Ends = append(d.Refused, key), append(d.Ends, e.end)
		return
	}
	d.Entries = append(d.Entries, describe(key, e))
}

type originDocument struct {
	Owner    Owner  `cbor:"1,keyasint"`
	Secret   []byte `cbor:"2,keyasint"`
	LastEnd  int64  `cbor:"3,keyasint"`
	Horizon  int64  `cbor:"4,keyasint"`
	Imported uint64 `cbor:"5,keyasint"`
}

type entryDocument struct {
	Key         Key            `cbor:"1,keyasint"`
	State       state          `cbor:"2,keyasint"`
	Reason      Reason         `cbor:"3,keyasint,omitempty"`
	Fingerprint []byte         `cbor:"4,keyasint"`
	End         int64          `cbor:"5,keyasint"`
	Response    *wire.Response `cbor:"6,keyasint,omitempty"`
	Holder      Owner          `cbor:"7,keyasint"`
}

// assembly collects the parts of one export.
type assembly struct {
	serial uint64
	parts  [][]byte
	have   int
}

// Export returns what the successor does not have yet. Until it is confirmed,
// a repeated call returns the same export. After the first export was
// confirmed, the successor may be replaced by the one it handed over to.
func (h *Home) Export(successor Owner) (Snapshot, error) {
	if h.phase == phaseSealed && successor != h.successor {
		return Snapshot{}, &Error{Reason: ReasonHandoverState}
	}
	if h.export == nil {
		if err := h.prepareExport(); err != nil {
			return Snapshot{}, err
		}
		if h.phase == phaseServing {
			h.phase = phaseSealed
		}
	}
	h.successor = successor
	h.export.Unfinished = len(h.open)
	return *h.export, nil
}

func (h *Home) prepareExport() error {
	doc := document{Previous: h.confirmed}
	var keys []Key
	if h.phase == phaseServing {
		for _, owner := range h.Origins() {
			from := h.origins[owner]
			doc.Origins = append(doc.Origins, originDocument{
				Owner: owner, Secret: from.secret[:], LastEnd: from.lastEnd,
				Horizon: from.horizon, Imported: from.imported,
			})
		}
		for _, key := range sortedKeys(h.settled) {
			doc.add(key, h.settled[key], false)
			keys = append(keys, key)
		}
		for _, end := range slices.Sorted(maps.Keys(h.expiry)) {
			for _, key := range h.expiry[end] {
				if h.origins[key.Owner] != nil && h.isRefused(key) {
					doc.add(key, &entry{end: end * 1000}, true)
					keys = append(keys, key)
				}
			}
		}
		for _, key := range sortedKeys(h.open) {
			held := describe(key, h.open[key])
			held.State, held.Holder = stateHeld, h.self
			doc.Entries = append(doc.Entries, held)
		}
	} else {
		for _, key := range sortedKeys(h.late) {
			doc.add(key, h.late[key], h.isRefused(key))
			keys = append(keys, key)
		}
	}
	parts, err := encodeParts(h.self, h.serial+1, doc)
	if err != nil {
		return err
	}
	h.serial++
	h.export, h.exported = &Snapshot{Serial: h.serial, Parts: parts}, keys
	return nil
}

func sortedKeys(entries map[Key]*entry) []Key {
	return slices.SortedFunc(maps.Keys(entries), compareKeys)
}

func describe(key Key, e *entry) entryDocument {
	return entryDocument{
		Key: key, State: e.state, Reason: e.reason, Fingerprint: e.fingerprint[:],
		End: e.end, Response: e.response, Holder: e.holder,
	}
}

// encodeParts cuts the encoded document into parts; one answer may be larger
// than a part.
func encodeParts(from Owner, serial uint64, doc document) ([][]byte, error) {
	data, err := cbor.Marshal(doc)
	if err != nil {
		return nil, &Error{Reason: ReasonSnapshotInvalid, Err: err}
	}
	const size = MaxPartBytes - partOverhead
	total := (len(data) + size - 1) / size
	parts := make([][]byte, 0, total)
	for i := range total {
		chunk := data[i*size : min((i+1)*size, len(data))]
		encoded, err := cbor.Marshal(part{From: from, Serial: serial, Index: i, Total: total, Data: chunk})
		if err != nil {
			return nil, &Error{Reason: ReasonSnapshotInvalid, Err: err}
		}
		parts = append(parts, encoded)
	}
	return parts, nil
}

// Confirm records that the successor took the whole export with this serial.
func (h *Home) Confirm(serial uint64) error {
	if h.export == nil || h.export.Serial != serial {
		return &Error{Reason: ReasonHandoverState}
	}
	for _, key := range h.exported {
		if h.origins[key.Owner] != nil {
			h.drop(key)
		}
		delete(h.late, key)
	}
	h.phase, h.confirmed = phaseHandedOver, serial
	h.export, h.exported = nil, nil
	return nil
}

// Abort ends a hand-over whose first export was not confirmed, and serves
// again. Call it only if the successor cannot have taken the export: it
// refused it, or the last part was never sent. Otherwise both would dispatch.
func (h *Home) Abort() error {
	if h.phase != phaseSealed {
		return &Error{Reason: ReasonHandoverState}
	}
	h.phase, h.successor = phaseServing, Owner{}
	h.export, h.exported = nil, nil
	late := h.late
	h.late = map[Key]*entry{}
	for key, e := range late {
		switch {
		case h.isRefused(key):
			h.expireAt(e.end, key)
		case e.state == stateReleased:
			delete(h.settled, key)
		default:
			h.settle(key, e)
		}
	}
	return nil
}

// Done tells that the successor has everything.
func (h *Home) Done() bool {
	return h.phase == phaseHandedOver && len(h.open) == 0 && len(h.late) == 0
}

var (
	partMode     = mustMode(16, 16)
	documentMode = mustMode(maxSnapshotEntries, 1024)
)

func mustMode(elements, pairs int) cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  8,
		MaxArrayElements: elements,
		MaxMapPairs:      pairs,
		// Header values may have any bytes over 0x7f.
		UTF8:        cbor.UTF8DecodeInvalid,
		IndefLength: cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Import takes one part. Nothing changes until all parts of an export have
// arrived; then it is taken as a whole or refused with an error, and the old
// home keeps the table. A part that was already taken is confirmed again.
func (h *Home) Import(now time.Time, data []byte) (Import, error) {
	if len(data) > MaxPartBytes {
		return Import{}, &Error{Reason: ReasonSnapshotInvalid}
	}
	var p part
	if err := partMode.Unmarshal(data, &p); err != nil {
		return Import{}, &Error{Reason: ReasonSnapshotInvalid, Err: err}
	}
	if p.Total < 1 || p.Total > maxParts || p.Index < 0 || p.Index >= p.Total || p.Serial == 0 || len(p.Data) == 0 || p.From == h.self {
		return Import{}, &Error{Reason: ReasonSnapshotInvalid}
	}
	result := Import{From: p.From, Serial: p.Serial}
	if from := h.origins[p.From]; from != nil && p.Serial <= from.imported {
		result.Done = p.Serial == from.imported
		return result, nil
	}
	if h.phase != phaseServing {
		return result, &Error{Reason: ReasonMoving}
	}
	whole, err := h.assemble(p)
	if whole == nil || err != nil {
		return result, err
	}
	var doc document
	if err := documentMode.Unmarshal(whole, &doc); err != nil {
		return result, &Error{Reason: ReasonSnapshotInvalid, Err: err}
	}
	if err := h.check(p.From, doc); err != nil {
		return result, err
	}
	h.adopt(now, doc)
	h.origins[p.From].imported = p.Serial
	h.forget(now.Add(-h.options.Retention).Unix())
	result.Done = true
	return result, nil
}

// assemble adds a part and returns the whole data once all parts are there.
func (h *Home) assemble(p part) ([]byte, error) {
	a := h.imports[p.From]
	if a == nil || a.serial < p.Serial {
		if a == nil && len(h.imports) >= maxImports {
			return nil, &Error{Reason: ReasonTableFull}
		}
		a = &assembly{serial: p.Serial, parts: make([][]byte, p.Total)}
		h.imports[p.From] = a
	}
	if a.serial != p.Serial || len(a.parts) != p.Total {
		return nil, &Error{Reason: ReasonSnapshotOrder}
	}
	if a.parts[p.Index] == nil {
		a.parts[p.Index] = p.Data
		a.have++
	}
	if a.have < p.Total {
		return nil, nil
	}
	delete(h.imports, p.From)
	whole := make([]byte, 0, p.Total*len(a.parts[0]))
	for _, chunk := range a.parts {
		whole = append(whole, chunk...)
	}
	return whole, nil
}

// DropImport forgets the parts of an incomplete import, when its sender is gone.
func (h *Home) DropImport(from Owner) { delete(h.imports, from) }

// check refuses a document that is invalid, out of order or too large.
func (h *Home) check(from Owner, doc document) error {
	known := map[Owner]bool{}
	for owner := range h.origins {
		known[owner] = true
	}
	var last uint64
	if o := h.origins[from]; o != nil {
		last = o.imported
	}
	if doc.Previous != last {
		return &Error{Reason: ReasonSnapshotOrder}
	}
	for _, o := range doc.Origins {
		if len(o.Secret) != secretBytes || o.Owner == h.self || o.LastEnd < 0 || o.LastEnd > maxUnixMilli {
			return &Error{Reason: ReasonSnapshotInvalid}
		}
		known[o.Owner] = true
	}
	if !known[from] {
		return &Error{Reason: ReasonSnapshotInvalid}
	}
	entries, bytes := 0, 0
	for i := range doc.Entries {
		e := &doc.Entries[i]
		if !known[e.Key.Owner] || !e.valid() {
			return &Error{Reason: ReasonSnapshotInvalid}
		}
		if h.find(e.Key) == nil {
			entries++
		}
		bytes += ResponseSize(e.Response)
	}
	if len(doc.Ends) != len(doc.Refused) {
		return &Error{Reason: ReasonSnapshotInvalid}
	}
	for i, key := range doc.Refused {
		if !known[key.Owner] || doc.Ends[i] < 0 || doc.Ends[i] > maxUnixMilli {
			return &Error{Reason: ReasonSnapshotInvalid}
		}
	}
	if h.Entries()+entries > h.options.MaxEntries || h.refused+len(doc.Refused) > h.options.MaxRefused {
		return &Error{Reason: ReasonTableFull}
	}
	if h.charged+bytes > h.options.MaxAnswerBytes {
		return &Error{Reason: ReasonAnswersFull}
	}
	return nil
}

func (e *entryDocument) valid() bool {
	switch e.State {
	case stateAnswered, stateUnknown, stateReleased, stateHeld:
	default:
		return false
	}
	return len(e.Fingerprint) == len(Fingerprint{}) &&
		e.End >= 0 && e.End <= maxUnixMilli &&
		(e.Response == nil || e.State == stateAnswered) &&
		(e.State == stateHeld) == (e.Holder != Owner{})
}

// adopt takes a checked document. An entry that exists here is newer than the
// export, unless it is held and the export ends it.
func (h *Home) adopt(now time.Time, doc document) {
	for _, o := range doc.Origins {
		if h.origins[o.Owner] != nil {
			continue
		}
		// The origin stays at least as long as its home may finish requests.
		lastEnd := max(o.LastEnd, now.Add(Lifetime).UnixMilli())
		taken := newOrigin(o.Secret)
		taken.lastEnd, taken.horizon, taken.imported = lastEnd, o.Horizon, o.Imported
		h.origins[o.Owner] = taken
	}
	for _, d := range doc.Entries {
		old := h.find(d.Key)
		if old != nil && old.state != stateHeld || h.isRefused(d.Key) {
			continue
		}
		delete(h.settled, d.Key)
		if d.State == stateReleased {
			continue
		}
		e := &entry{state: d.State, reason: d.Reason, end: d.End, response: d.Response, holder: d.Holder}
		copy(e.fingerprint[:], d.Fingerprint)
		h.charge(e, ResponseSize(d.Response))
		h.settle(d.Key, e)
	}
	for i, key := range doc.Refused {
		if old := h.find(key); old == nil || old.state == stateHeld {
			delete(h.settled, key)
			if !h.isRefused(key) {
				h.refuse(key, doc.Ends[i])
			}
		}
	}
}

// HolderGone makes the requests unknown that an old home held when it ended.
func (h *Home) HolderGone(holder Owner) int {
	count := 0
	for key, e := range h.settled {
		if e.state == stateHeld && e.holder == holder {
			e.state, e.reason, e.holder = stateUnknown, ReasonHomeGone, Owner{}
			count++
			if h.phase != phaseServing {
				h.late[key] = e
			}
		}
	}
	return count
}

// Holders returns the old homes that still hold requests.
func (h *Home) Holders() []Owner {
	seen := map[Owner]bool{}
	var holders []Owner
	for _, e := range h.settled {
		if e.state == stateHeld && !seen[e.holder] {
			seen[e.holder] = true
			holders = append(holders, e.holder)
		}
	}
	slices.SortFunc(holders, compareOwners)
	return holders
}
