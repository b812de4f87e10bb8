package ratelimit

import (
	"github.com/fxamacker/cbor/v2"
)

// ClaimKind tells how a claim relates to the claim before it.
type ClaimKind uint8

// The kinds of claims.
const (
	// ClaimNew is by a daemon that was not the keeper.
	ClaimNew ClaimKind = iota + 1
	// ClaimHandover is appended by the old keeper for the new one. The old one
	// grants until it reads the claim, and then sends its state.
	ClaimHandover
	// ClaimRefresh is by the keeper itself: it names another successor, tells
	// that it has started, or keeps the claim in the retained part of the log.
	ClaimRefresh
)

// ClaimID is the unique id of one append.
type ClaimID [16]byte

// Claim is a record of the keepers stream. The record with the greatest epoch
// holds; of several with the same epoch, the first one in the log.
type Claim struct {
	ID      ClaimID   `cbor:"1,keyasint"`
	Kind    ClaimKind `cbor:"2,keyasint"`
	Group   uint32    `cbor:"3,keyasint"`
	Epoch   uint64    `cbor:"4,keyasint"`
	Keeper  DaemonID  `cbor:"5,keyasint"`
	Address string    `cbor:"6,keyasint"` // of the keeper's peer port
	// Successor may claim the group when the keeper fails. It is zero if the
	// keeper knows no other member.
	Successor DaemonID `cbor:"7,keyasint,omitempty"`
	// Previous is the keeper of the claim that the writer built on.
	Previous DaemonID `cbor:"8,keyasint,omitempty"`
	// Proven means that the writer has proof that Previous is dead.
	Proven bool `cbor:"9,keyasint,omitempty"`
	// Long means that an earlier keeper may go on by consent for ConsentTime.
	// It informs readers that do not know the earlier claims.
	Long bool `cbor:"11,keyasint,omitempty"`
	// Started means that the keeper grants, so that all earlier rights and
	// grants have ended.
	Started bool `cbor:"10,keyasint,omitempty"`
	// Stopped means, in a hand-over, that Previous did not grant at the append
	// and never will under its claim, so that there is no state to wait for.
	Stopped bool `cbor:"12,keyasint,omitempty"`
}

// passesState tells if the claim hands a group over whose state will be sent.
func (c *Claim) passesState() bool { return c.Kind == ClaimHandover && !c.Stopped }

// ClaimError tells that a record of the keepers stream is not a valid claim.
// Readers skip it.
type ClaimError struct {
	Reason string
	Err    error
}

// Error names the reason and the remedy.
func (e *ClaimError) Error() string {
	text := "invalid claim: " + e.Reason
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text + "; remedy: run the same release and the same number of rate groups on all hosts"
}

// Unwrap returns the codec's error.
func (e *ClaimError) Unwrap() error { return e.Err }

// EncodeClaim returns the record of a claim.
func EncodeClaim(c Claim) ([]byte, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return nil, &ClaimError{Reason: "cannot encode", Err: err}
	}
	return data, nil
}

// DecodeClaim returns the claim of a record, for groups rate groups.
func DecodeClaim(data []byte, groups uint32) (Claim, error) {
	var c Claim
	if err := cbor.Unmarshal(data, &c); err != nil {
		return Claim{}, &ClaimError{Reason: "cannot decode", Err: err}
	}
	switch {
	case c.Kind < ClaimNew || c.Kind > ClaimRefresh:
		return Claim{}, &ClaimError{Reason: "unknown kind"}
	case c.Group >= groups:
		return Claim{}, &ClaimError{Reason: "unknown group"}
	case c.Epoch == 0 || c.Keeper.Member == "":
		return Claim{}, &ClaimError{Reason: "epoch or keeper missing"}
	}
	return c, nil
}
