package ratelimit

import (
	"tarragonshore.example/tarragonshore/internal/connection/wire"
	"tarragonshore.example/tarragonshore/internal/process/platform"
)

// ClaimReason is why Claims requests an action.
type ClaimReason string

// The reasons of actions.
const (
	ClaimUnclaimed        ClaimReason = "unclaimed"              // AppendClaim: the log has no claim of the group
	ClaimKeeperMissing    ClaimReason = "keeper-missing"         // AppendClaim by the successor, ProbeKeeper
	ClaimKeeperDead       ClaimReason = "keeper-dead"            // AppendClaim: the keeper is proven to be dead
	ClaimBothMissing      ClaimReason = "both-missing"           // AppendClaim: keeper and successor are missing
	ClaimSuccessorMissing ClaimReason = "successor-missing"      // AppendClaim: replaces the successor
	ClaimNoConsent        ClaimReason = "no-consent"             // AppendClaim: replaces a successor that does not consent
	ClaimRetention        ClaimReason = "retention"              // AppendClaim: repeats the claim before the log drops it
	ClaimStarted          ClaimReason = "started"                // AppendClaim: states that no earlier keeper has a lease
	ClaimPlannedStop      ClaimReason = "planned-stop"           // AppendClaim, HandOver, StopGranting
	ClaimFirst            ClaimReason = "first-claim"            // StartGranting: there was no earlier claim
	ClaimLeasesEnded      ClaimReason = "earlier-rights-ended"   // StartGranting: the leases and grants of earlier keepers ended
	ClaimStateReceived    ClaimReason = "state-received"         // StartGranting with the handed-over state
	ClaimSuperseded       ClaimReason = "superseded"             // StopGranting: a later claim names another keeper
	ClaimDropped          ClaimReason = "dropped-from-retention" // StopGranting: the log no longer retains the claim
)

// Action is an operation that Claims requests from the daemon.
type Action interface{ isAction() }

// AppendClaim requests that a claim be appended to the keepers stream and the
// outcome be reported with Claims.Appended.
type AppendClaim struct {
	Claim  Claim
	Reason ClaimReason
}

// SendConsentRequest requests that a consent request be sent to a successor.
type SendConsentRequest struct {
	To      DaemonID
	Request *wire.ConsentRequest
}

// StartGranting requests that the group's Keeper be created: with TakeOver from
// the received state if FromState is set, else, or if TakeOver fails, with NewKeeper.
type StartGranting struct {
	Group     uint32
	Epoch     uint64
	FromState bool
	Reason    ClaimReason
}

// StopGranting requests that the group's Keeper be discarded.
type StopGranting struct {
	Group  uint32
	Reason ClaimReason
}

// ProbeKeeper requests a connection to a keeper's address. If the connection is
// refused or a newer incarnation answers, the keeper is proven to be dead and
// Claims.ConfirmDead is to be called.
type ProbeKeeper struct {
	Keeper  DaemonID
	Address string
	Reason  ClaimReason
}

// HandOver requests that the group's Keeper be stopped with Keeper.HandOver, its
// state be sent to the new keeper, together with the claim that names the new
// keeper and the claim's offset, and the outcome be reported with
// Claims.HandedOver.
type HandOver struct {
	Claim  Claim
	Offset platform.Offset
	Reason ClaimReason
}

func (*AppendClaim) isAction()        {}
func (*SendConsentRequest) isAction() {}
func (*StartGranting) isAction()      {}
func (*StopGranting) isAction()       {}
func (*ProbeKeeper) isAction()        {}
func (*HandOver) isAction()           {}
