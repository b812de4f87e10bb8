package ratelimit

import (
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/platform"
)

// ClaimReason tells why an action is taken.
type ClaimReason string

// The reasons of actions.
const (
	ClaimUnclaimed     ClaimReason = "unclaimed"              // AppendClaim: no claim in the log
	ClaimKeeperMissing ClaimReason = "keeper-missing"         // AppendClaim by the successor, ProbeDeath
	ClaimKeeperDead    ClaimReason = "keeper-dead"            // AppendClaim: death is proven
	ClaimBothMissing   ClaimReason = "both-missing"           // AppendClaim: keeper and successor
	ClaimSuccessor     ClaimReason = "successor-missing"      // AppendClaim: names another one
	ClaimNoConsent     ClaimReason = "no-consent"             // AppendClaim: names another successor
	ClaimRetention     ClaimReason = "retention"              // AppendClaim: before the log drops it
	ClaimStarted       ClaimReason = "started"                // AppendClaim: ends the wait of later claims
	ClaimPlannedStop   ClaimReason = "planned-stop"           // AppendClaim, HandOver
	ClaimFirst         ClaimReason = "first-claim"            // StartGranting: the stream was empty
	ClaimRightsEnded   ClaimReason = "earlier-rights-ended"   // StartGranting
	ClaimStateReceived ClaimReason = "state-received"         // StartGranting with the handed-over state
	ClaimSuperseded    ClaimReason = "superseded"             // StopGranting
	ClaimDropped       ClaimReason = "dropped-from-retention" // StopGranting
)

// Action is something that the daemon has to do.
type Action interface{ isAction() }

// AppendClaim asks to append a claim to the keepers stream and to report the
// outcome with Appended.
type AppendClaim struct {
	Claim  Claim
	Reason ClaimReason
}

// AskConsent asks to send a request for consent.
type AskConsent struct {
	To      DaemonID
	Request *wire.ConsentRequest
}

// StartGranting asks to create the group's Keeper: with TakeOver from the
// received state if FromState is set (or NewKeeper if that fails), else with
// NewKeeper.
type StartGranting struct {
	Group     uint32
	Epoch     uint64
	FromState bool
	Reason    ClaimReason
}

// StopGranting asks to drop the group's Keeper.
type StopGranting struct {
	Group  uint32
	Reason ClaimReason
}

// ProbeDeath asks to connect to a keeper's address. If the connection is
// refused or a newer incarnation answers, that is proof: call Died.
type ProbeDeath struct {
	Keeper  DaemonID
	Address string
	Reason  ClaimReason
}

// HandOver asks to end the group's Keeper with Keeper.HandOver, to send its
// state to the new keeper, with the claim that names it and the claim's offset,
// and to call HandedOver with the outcome.
type HandOver struct {
	Claim  Claim
	Offset platform.Offset
	Reason ClaimReason
}

func (*AppendClaim) isAction()   {}
func (*AskConsent) isAction()    {}
func (*StartGranting) isAction() {}
func (*StopGranting) isAction()  {}
func (*ProbeDeath) isAction()    {}
func (*HandOver) isAction()      {}
