package ratelimit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

const (
	// GrantTime is how long a holder may spend a grant, on its own clock,
	// counted from before it sent the request.
	GrantTime = 2 * time.Second
	// maxClockDriftPercent is the greatest difference between the rates of two
	// hosts' clocks that is tolerated.
	maxClockDriftPercent = 5
	// keeperGrantTime is how long the keeper counts a grant as outstanding. A
	// holder with a slower clock may spend the grant for longer than GrantTime of
	// the keeper's clock.
	keeperGrantTime = GrantTime + GrantTime*maxClockDriftPercent/100
	// holderRetention is how long the keeper remembers the last request number of
	// a holder without grants. A duplicate request that arrives later gets a second
	// grant, whose tokens are wasted.
	holderRetention = time.Minute
	// epochShift reserves 2^40 grant numbers for each epoch, so that the grants of
	// different keepers of a group have different numbers.
	epochShift = 40
)

// DaemonID identifies one incarnation of a daemon.
type DaemonID struct {
	Member      string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// GrantReason is why a grant request was refused. It is sent as
// wire.GrantReply.Refused.
type GrantReason string

// The reasons of Grant.
const (
	GrantDone       GrantReason = "" // not refused
	GrantNotKeeper  GrantReason = "not-keeper"
	GrantNoLease    GrantReason = "no-right"
	GrantStale      GrantReason = "stale-request"
	GrantHandedOver GrantReason = "handed-over"
)

// sliceKey identifies a slice of a workspace.
type sliceKey struct {
	workspace string
	slice     uint8
}

// keeperGrant is the state of a grant at its keeper, until it ends.
type keeperGrant struct {
	number   uint64
	holder   DaemonID
	key      sliceKey
	granted  uint32
	spent    uint32 // reported so far
	returned uint32 // reported so far
	end      time.Time
}

// unreported returns the number of tokens that the holder has neither spent nor
// returned according to its reports.
func (g *keeperGrant) unreported() uint64 { return uint64(g.granted - g.spent - g.returned) }

// keeperHolder is what the keeper knows about a holder.
type keeperHolder struct {
	lastRequest uint64    // greatest request number received
	grants      int       // number of its grants that have unreported tokens
	lastSeen    time.Time // when its last request arrived
}

// Keeper has the token buckets of one rate group and grants tokens to holders.
type Keeper struct {
	group, groups uint32
	number        uint64 // of the last grant
	buckets       map[sliceKey]*bucket
	holders       map[DaemonID]*keeperHolder
	grants        map[uint64]*keeperGrant
	grantsByEnd   []*keeperGrant // all grants, including dropped ones, in order of their ends
	handedOver    bool
	holdersSwept  time.Time // when old holders were last removed
}

// NewKeeper returns the keeper of a group, for the claim with the given epoch. It
// has no workspaces and no tokens.
func NewKeeper(group, groups uint32, epoch uint64) *Keeper {
	return &Keeper{
		group: group, groups: groups, number: epoch << epochShift,
		buckets: map[sliceKey]*bucket{},
		holders: map[DaemonID]*keeperHolder{},
		grants:  map[uint64]*keeperGrant{},
	}
}

// SetLimits applies the limits of all workspaces. Slices of other groups are
// ignored. New buckets start empty. The bucket of a workspace that is no longer
// listed keeps its outstanding tokens but grants nothing.
func (k *Keeper) SetLimits(now time.Time, workspaces []tables.Workspace) {
	k.expire(now)
	kept := make(map[sliceKey]bool)
	for _, w := range workspaces {
		division := Divide(w)
		for i, limit := range division.Limits[:division.Count] {
			slice := division.First + uint8(i)
			if Group(w.Name, slice, k.groups) != k.group {
				continue
			}
			key := sliceKey{w.Name, slice}
			kept[key] = true
			if b, ok := k.buckets[key]; ok {
				b.setLimit(now, limit)
			} else {
				k.buckets[key] = &bucket{limit: limit, updated: now}
			}
		}
	}
	for key, b := range k.buckets {
		if kept[key] {
			continue
		}
		b.setLimit(now, SliceLimit{})
		if b.outstanding == 0 {
			delete(k.buckets, key)
		}
	}
}

// Grant applies the reports of a request and grants tokens. leaseEnd is the end
// of this daemon's lease (Claims.LeaseEnd). A report states the totals of a grant, so
// duplicated and reordered requests have no effect. A reply entry has WaitMS set if
// less was granted than wanted, that is, if the slice is empty.
func (k *Keeper) Grant(now, leaseEnd time.Time, holder DaemonID, request *wire.GrantRequest) (wire.GrantReply, GrantReason) {
	reply := wire.GrantReply{Number: request.Number, Group: request.Group}
	refuse := func(reason GrantReason) (wire.GrantReply, GrantReason) {
		reply.Refused = string(reason)
		return reply, reason
	}
	if request.Group != k.group {
		return refuse(GrantNotKeeper)
	}
	if k.handedOver {
		return refuse(GrantHandedOver)
	}
	k.expire(now)
	for i := range request.Entries {
		if e := &request.Entries[i]; e.Grant != 0 {
			k.settle(now, holder, e)
		}
	}
	if !now.Before(leaseEnd) {
		return refuse(GrantNoLease)
	}
	h := k.holders[holder]
	if h == nil {
		h = &keeperHolder{}
		k.holders[holder] = h
	}
	h.lastSeen = now
	if request.Number <= h.lastRequest {
		return refuse(GrantStale)
	}
	h.lastRequest = request.Number
	reply.Entries = make([]wire.GrantEntry, 0, len(request.Entries))
	for i := range request.Entries {
		if e := &request.Entries[i]; e.Want > 0 || e.Spare > 0 {
			reply.Entries = append(reply.Entries, k.grant(now, holder, h, e))
		}
	}
	return reply, GrantDone
}

// grant grants tokens for one entry of a request and returns the entry of the reply.
func (k *Keeper) grant(now time.Time, id DaemonID, h *keeperHolder, e *wire.GrantEntry) wire.GrantEntry {
	out := wire.GrantEntry{Workspace: e.Workspace, Slice: e.Slice, Want: e.Want}
	b, ok := k.buckets[sliceKey{e.Workspace, e.Slice}]
	if !ok {
		out.WaitMS = uint32(maxWait / time.Millisecond)
		return out
	}
	b.advance(now)
	n := b.take(uint64(e.Want))
	if n == uint64(e.Want) {
		n += b.takeSpare(uint64(e.Spare))
	}
	if n > 0 {
		k.number++
		g := &keeperGrant{
			number: k.number, holder: id, key: sliceKey{e.Workspace, e.Slice},
			granted: uint32(n), end: now.Add(keeperGrantTime),
		}
		k.grants[g.number] = g
		k.grantsByEnd = append(k.grantsByEnd, g)
		h.grants++
		out.Granted, out.Grant = g.granted, g.number
	}
	if out.Granted < e.Want {
		out.WaitMS = uint32((b.wait() + time.Millisecond - 1) / time.Millisecond)
	}
	return out
}

// settle applies a report to a grant of the holder.
func (k *Keeper) settle(now time.Time, holder DaemonID, e *wire.GrantEntry) {
	g, ok := k.grants[e.Grant]
	if !ok || g.holder != holder {
		return
	}
	b := k.buckets[g.key]
	b.advance(now)
	// Lower totals are from older reports and change nothing. Totals are limited to
	// the size of the grant.
	spent := min(max(g.spent, e.Spent), g.granted-g.returned)
	returned := min(max(g.returned, e.Returned), g.granted-spent)
	b.settle(uint64(spent-g.spent), uint64(returned-g.returned))
	g.spent, g.returned = spent, returned
	if g.unreported() == 0 {
		k.drop(g)
	}
}

// drop removes a grant without unreported tokens.
func (k *Keeper) drop(g *keeperGrant) {
	delete(k.grants, g.number)
	if h := k.holders[g.holder]; h != nil {
		h.grants--
	}
}

// expire ends the grants that the keeper has counted for keeperGrantTime. Their
// unreported tokens count as spent. It also removes holders that have been inactive for
// holderRetention.
func (k *Keeper) expire(now time.Time) {
	n := 0
	for n < len(k.grantsByEnd) && !now.Before(k.grantsByEnd[n].end) {
		g := k.grantsByEnd[n]
		k.grantsByEnd[n] = nil
		n++
		if _, ok := k.grants[g.number]; !ok {
			continue
		}
		b := k.buckets[g.key]
		b.advance(now)
		b.settle(g.unreported(), 0)
		g.spent = g.granted - g.returned
		k.drop(g)
	}
	k.grantsByEnd = k.grantsByEnd[n:]
	if now.Sub(k.holdersSwept) < holderRetention {
		return
	}
	k.holdersSwept = now
	for id, h := range k.holders {
		if h.grants == 0 && now.Sub(h.lastSeen) > holderRetention {
			delete(k.holders, id)
		}
	}
}

// Level returns how many whole tokens of a slice can be granted, and how many are
// outstanding.
func (k *Keeper) Level(now time.Time, workspace string, slice uint8) (level, outstanding uint64) {
	k.expire(now)
	b, ok := k.buckets[sliceKey{workspace, slice}]
	if !ok {
		return 0, 0
	}
	b.advance(now)
	return b.level / nanoPerToken, b.outstanding
}

// The encoding of a group's state for a hand-over. Ends of grants are encoded as
// remaining times, since the clocks of two hosts cannot be compared.
type (
	keeperState struct {
		Group   uint32        `cbor:"1,keyasint"`
		Groups  uint32        `cbor:"2,keyasint"`
		Buckets []bucketState `cbor:"3,keyasint"`
		Grants  []grantState  `cbor:"4,keyasint"`
		Holders []holderState `cbor:"5,keyasint"`
	}
	bucketState struct {
		Workspace string `cbor:"1,keyasint"`
		Slice     uint8  `cbor:"2,keyasint"`
		MicroRate uint64 `cbor:"3,keyasint"`
		Burst     uint64 `cbor:"4,keyasint"`
		Level     uint64 `cbor:"5,keyasint"`
	}
	grantState struct {
		Number     uint64        `cbor:"1,keyasint"`
		Holder     DaemonID      `cbor:"2,keyasint"`
		Workspace  string        `cbor:"3,keyasint"`
		Slice      uint8         `cbor:"4,keyasint"`
		Unreported uint32        `cbor:"5,keyasint"`
		Spent      uint32        `cbor:"6,keyasint"`
		Returned   uint32        `cbor:"7,keyasint"`
		Remaining  time.Duration `cbor:"8,keyasint"`
	}
	holderState struct {
		Holder      DaemonID `cbor:"1,keyasint"`
		LastRequest uint64   `cbor:"2,keyasint"`
	}
)

// HandOver stops the keeper, which grants nothing afterwards, and returns its state
// for the new keeper, to be sent as wire.Handover of kind "groups". It can be
// called again to repeat the sending, and then returns the state at that time.
func (k *Keeper) HandOver(now time.Time) ([]byte, error) {
	k.expire(now)
	k.handedOver = true
	state := keeperState{Group: k.group, Groups: k.groups}
	for key, b := range k.buckets {
		b.advance(now)
		state.Buckets = append(state.Buckets, bucketState{
			key.workspace, key.slice, b.limit.MicroRate, b.limit.Burst, b.level})
	}
	for _, g := range k.grantsByEnd {
		if _, ok := k.grants[g.number]; ok {
			state.Grants = append(state.Grants, grantState{
				g.number, g.holder, g.key.workspace, g.key.slice,
				uint32(g.unreported()), g.spent, g.returned, g.end.Sub(now)})
		}
	}
	for id, h := range k.holders {
		state.Holders = append(state.Holders, holderState{id, h.lastRequest})
	}
	// Sorted, so that equal states have equal encodings, on which tests and logs rely.
	slices.SortFunc(state.Buckets, func(a, b bucketState) int {
		return cmp.Or(strings.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Slice, b.Slice))
	})
	slices.SortFunc(state.Holders, func(a, b holderState) int {
		return cmp.Or(strings.Compare(a.Holder.Member, b.Holder.Member),
			cmp.Compare(a.Holder.Incarnation, b.Holder.Incarnation))
	})
	return cbor.Marshal(state)
}

// HandoverError reports that a handed-over state cannot be used. The new keeper has to
// wait for the end of the old keeper's grants and start with NewKeeper.
type HandoverError struct{ Err error }

// Error describes the fault and its remedy.
func (e *HandoverError) Error() string {
	text := "handed-over state of a rate group is invalid"
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text + "; remedy: run the same release on both hosts"
}

// Unwrap returns the fault that was found, or nil.
func (e *HandoverError) Unwrap() error { return e.Err }

// TakeOver returns a keeper that continues from a handed-over state, with the epoch
// of its own claim. No grant ends earlier than at the old keeper, because the
// remaining times are counted from now.
func TakeOver(now time.Time, data []byte, epoch uint64) (*Keeper, error) {
	var state keeperState
	if err := cbor.Unmarshal(data, &state); err != nil {
		return nil, &HandoverError{err}
	}
	if state.Groups == 0 || state.Group >= state.Groups {
		return nil, &HandoverError{fmt.Errorf("it is of group %d, but has %d groups", state.Group, state.Groups)}
	}
	k := NewKeeper(state.Group, state.Groups, epoch)
	for _, s := range state.Buckets {
		k.buckets[sliceKey{s.Workspace, s.Slice}] = &bucket{
			limit: SliceLimit{s.MicroRate, s.Burst}, level: s.Level, updated: now}
	}
	for _, s := range state.Holders {
		k.holders[s.Holder] = &keeperHolder{lastRequest: s.LastRequest, lastSeen: now}
	}
	for _, s := range state.Grants {
		b, h := k.buckets[sliceKey{s.Workspace, s.Slice}], k.holders[s.Holder]
		if b == nil || h == nil {
			return nil, &HandoverError{fmt.Errorf("grant %d has no bucket or no holder", s.Number)}
		}
		g := &keeperGrant{
			number: s.Number, holder: s.Holder, key: sliceKey{s.Workspace, s.Slice},
			granted: s.Unreported + s.Spent + s.Returned, spent: s.Spent, returned: s.Returned,
			end: now.Add(s.Remaining + GrantTime*maxClockDriftPercent/100),
		}
		k.grants[g.number] = g
		k.grantsByEnd = append(k.grantsByEnd, g)
		b.outstanding += g.unreported()
		h.grants++
	}
	for _, b := range k.buckets {
		b.clip()
	}
	return k, nil
}
