package ratelimit

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ClaimKind is how a claim relates to the previous one.
type ClaimKind uint8

// The kinds of claims.
const (
	// ClaimNew is appended by a daemon that was not the keeper, for itself.
	ClaimNew ClaimKind = iota + 1
	// ClaimHandover is appended by the old keeper and names the new one. The old
	// keeper grants until it reads the claim, and then sends its state.
	ClaimHandover
	// ClaimRefresh is appended by the keeper to name another successor, to state
	// that it grants, or to keep a claim in the retained part of the log.
	ClaimRefresh
)

// ClaimID is the unique id of one append.
type ClaimID [16]byte

// Claim is a record of the keepers stream, which names the keeper of a group. The
// claim with the greatest epoch is in force; of several with the same epoch, the
// first one in the log.
type Claim struct {
	ID      ClaimID   `cbor:"1,keyasint"`
	Kind    ClaimKind `cbor:"2,keyasint"`
	Group   uint32    `cbor:"3,keyasint"`
	Epoch   uint64    `cbor:"4,keyasint"`
	Keeper  DaemonID  `cbor:"5,keyasint"`
	Address string    `cbor:"6,keyasint"` // of the keeper's peer port
	// Successor is the daemon that can renew the keeper's lease by consent and
	// that claims the group before others when the keeper fails. It is zero if
	// there is no other member.
	Successor DaemonID `cbor:"7,keyasint,omitempty"`
	// Previous is the keeper of the last claim that the writer had read.
	Previous DaemonID `cbor:"8,keyasint,omitempty"`
	// PreviousDead means that the writer has proof that Previous is dead.
	PreviousDead bool `cbor:"9,keyasint,omitempty"`
	// MayHaveConsent means that an earlier keeper may renew its lease by consent
	// for ConsentTime. It is for readers that do not know the earlier claims.
	MayHaveConsent bool `cbor:"11,keyasint,omitempty"`
	// Started means that the keeper grants, so that the leases and grants of all
	// earlier keepers have ended.
	Started bool `cbor:"10,keyasint,omitempty"`
	// PreviousStopped means, in a hand-over, that Previous did not grant at the
	// append and never will with its claim, so that there is no state to wait for.
	PreviousStopped bool `cbor:"12,keyasint,omitempty"`
}

// passesState reports whether the claim is a hand-over in which the old keeper sends its
// state to the new one.
func (c *Claim) passesState() bool { return c.Kind == ClaimHandover && !c.PreviousStopped }

// ClaimError reports that a record of the keepers stream is not a valid claim.
// Readers skip the record.
type ClaimError struct {
	Reason string
	Err    error
}

// Error describes the fault and its remedy.
func (e *ClaimError) Error() string {
	text := "invalid claim: " + e.Reason
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text + "; remedy: run the same release and the same number of rate groups on all hosts"
}

// Unwrap returns the encoding or decoding error, or nil.
func (e *ClaimError) Unwrap() error { return e.Err }

// EncodeClaim encodes a claim as a record of the keepers stream.
func EncodeClaim(c Claim) ([]byte, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return nil, &ClaimError{Reason: "cannot encode", Err: err}
	}
	return data, nil
}

// DecodeClaim decodes a record of the keepers stream, given the number of rate groups.
func DecodeClaim(data []byte, groups uint32) (Claim, error) {
	var c Claim
	if err := cbor.Unmarshal(data, &c); err != nil {
		return Claim{}, &ClaimError{Reason: "cannot decode", Err: err}
	}
	switch {
	case c.Kind < ClaimNew || c.Kind > ClaimRefresh:
		return Claim{}, &ClaimError{Reason: fmt.Sprintf("unknown kind %d", c.Kind)}
	case c.Group >= groups:
		return Claim{}, &ClaimError{Reason: fmt.Sprintf("it is of group %d, but this daemon has %d groups", c.Group, groups)}
	case c.Epoch == 0 || c.Keeper.Member == "":
		return Claim{}, &ClaimError{Reason: "epoch or keeper missing"}
	}
	return c, nil
}
