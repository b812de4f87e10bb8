// Package wire defines the messages between daemons and their CBOR codec.
// A frame is the encoded form of one message: a CBOR array of the type number and a
// map with integer keys. Unknown keys are ignored, so that fields can be added, and an
// absent key stands for the zero value: attempts and answers between availability zones are
// charged for by the byte.
package wire

import (
	"math"
	"time"

	"tarragonshore.example/tarragonshore/internal/request/shedding"
)

// MaxFrameBytes is the maximum size of a frame.
const MaxFrameBytes = 8 << 20

// Type is the type number of a message. Numbers are never reused.
type Type uint8

// The message types.
const (
	TypeHello Type = iota + 1
	TypePing
	TypePong
	TypeAttempt
	TypeAnswer
	TypeAnswerAck
	TypeSettle
	TypeSettleResult
	TypeCancel
	TypeForward
	TypeGrantRequest
	TypeGrantReply
	TypeConsentRequest
	TypeConsentReply
	TypeHandover
	TypeHandoverAck
	TypeTablesRequest
	TypeTablesReply
	TypeGoAway
	TypeStatus
	TypeRelay
	TypeMembersRequest
	TypeMembersReply
	TypeUnlisted
)

// Message is a value of one of the message types of this package.
type Message interface{ Type() Type }

// AttemptID is the globally unique id of an attempt or of a forwarded request.
type AttemptID [16]byte

// Hello is the first message on a link, in both directions.
type Hello struct {
	Member      string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
}

// Ping asks for a Pong with the same number.
type Ping struct {
	Number uint64 `cbor:"1,keyasint"`
}

// Pong answers a Ping.
type Pong struct {
	Number uint64 `cbor:"1,keyasint"`
}

// HeaderField is one field line of an HTTP message.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Request is an HTTP request as daemons forward it, without the caller's key.
type Request struct {
	Method string        `cbor:"1,keyasint"`
	Target string        `cbor:"2,keyasint"` // path and query
	Host   string        `cbor:"3,keyasint,omitempty"`
	Header []HeaderField `cbor:"4,keyasint,omitempty"`
	Body   []byte        `cbor:"5,keyasint,omitempty"`
}

// Response is a complete HTTP response.
type Response struct {
	Status int           `cbor:"1,keyasint"`
	Header []HeaderField `cbor:"2,keyasint,omitempty"`
	Body   []byte        `cbor:"3,keyasint,omitempty"`
}

// Refusal is the encoded form of a problem.Problem.
type Refusal struct {
	Kind         string `cbor:"1,keyasint"`
	Executed     string `cbor:"2,keyasint"`
	Detail       string `cbor:"3,keyasint,omitempty"`
	RetryAfterMS uint32 `cbor:"4,keyasint,omitempty"`
}

// Context holds what a call inherits from its root request, the request of a caller
// that it results from.
type Context struct {
	Workspace   string   `cbor:"1,keyasint,omitempty"`
	KeyDigest   [32]byte `cbor:"2,keyasint,omitzero"`
	Open        bool     `cbor:"3,keyasint,omitempty"` // the root request's route needs no key
	Importance  uint8    `cbor:"4,keyasint"`           // 0 is the most important
	RootHash    uint8    `cbor:"5,keyasint,omitempty"` // of the root request; see Threshold
	Depth       uint8    `cbor:"6,keyasint,omitempty"` // number of calls above it in the request tree
	Credits     uint8    `cbor:"7,keyasint,omitempty"` // extra attempts that the call may use
	RemainingMS uint32   `cbor:"8,keyasint"`           // until the deadline
	Idempotent  bool     `cbor:"9,keyasint,omitempty"`
	// ObjectiveMS is the time that is left of the latency objective of the call tree;
	// below 0: since it has passed; 0: there is none. Only tarragon-agent sets it.
	ObjectiveMS int32 `cbor:"10,keyasint,omitempty"`
	// CallerWorkspace is the workspace of the caller's request that a call results from, if
	// it is known. Only tarragon-agent sets it, where Workspace is empty.
	CallerWorkspace string `cbor:"11,keyasint,omitempty"`
}

// SetObjective sets the time that is left of the latency objective. The objective has
// passed if it is 0 or less.
func (c *Context) SetObjective(left time.Duration) {
	ms := min(max(left.Milliseconds(), -math.MaxInt32), math.MaxInt32)
	if ms == 0 {
		ms = 1
		if left <= 0 {
			ms = -1
		}
	}
	c.ObjectiveMS = int32(ms)
}

// Objective returns the time of the latency objective, zero if there is none.
func (c *Context) Objective(now time.Time) time.Time {
	if c.ObjectiveMS == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(c.ObjectiveMS) * time.Millisecond)
}

// RootWorkspace returns the workspace that the call tree belongs to, "" if not known.
func (c *Context) RootWorkspace() string {
	if c.Workspace != "" {
		return c.Workspace
	}
	return c.CallerWorkspace
}

// Remaining returns the time until the deadline of the call.
func (c Context) Remaining() time.Duration {
	return time.Duration(c.RemainingMS) * time.Millisecond
}

// Attempt asks the executing daemon to run a request on its backend server.
type Attempt struct {
	ID      AttemptID `cbor:"1,keyasint"`
	Route   string    `cbor:"2,keyasint"`
	Pool    string    `cbor:"3,keyasint"`
	Server  string    `cbor:"4,keyasint"`
	Context Context   `cbor:"5,keyasint"`
	Request Request   `cbor:"6,keyasint"`
	// RequestID is the id that the caller gave the request, for the backend server
	// and the logs. Only tarragon-agent sets RequestID and Origin.
	RequestID string `cbor:"7,keyasint,omitempty"`
	// Origin is the service on the host at whose daemon the request entered.
	Origin string `cbor:"8,keyasint,omitempty"`
	// Movable is true if the sender can send the attempt to another upstream after a
	// refusal as not executed. Only tarragon-agent sets it.
	Movable bool `cbor:"9,keyasint,omitempty"`
	// OtherWaitMS is how long the sender expects a Movable attempt to wait at the best
	// other upstream; 0: it has a free slot. Only tarragon-agent sets it.
	OtherWaitMS uint32 `cbor:"10,keyasint,omitempty"`
}

// Threshold is the shedding threshold of an executing daemon. It sheds requests with
// a greater importance number, and those with the same one and a Context.RootHash of
// Hash or more.
type Threshold struct {
	Importance uint8  `cbor:"1,keyasint"`
	Hash       uint16 `cbor:"2,keyasint"` // 0 to 256
}

// Answer is the result of an attempt or of a forwarded request. Either Response or
// Refusal is set.
type Answer struct {
	ID        AttemptID `cbor:"1,keyasint"`
	Response  *Response `cbor:"2,keyasint,omitempty"`
	Refusal   *Refusal  `cbor:"3,keyasint,omitempty"`
	Credits   uint8     `cbor:"4,keyasint,omitempty"` // of Context.Credits, those not used
	Threshold Threshold `cbor:"5,keyasint,omitzero"`
	QueueMS   uint32    `cbor:"6,keyasint,omitempty"`
	ServiceMS uint32    `cbor:"7,keyasint,omitempty"`
	// ShedDownstream is true if the backend server made a call during the run which was
	// shed.
	ShedDownstream bool `cbor:"8,keyasint,omitempty"`
	// Load is the load of the backend server when the Answer was sent. Only
	// tarragon-agent sets Load and Reached.
	Load *Load `cbor:"9,keyasint,omitempty"`
	// Reached is true if the backend server received the request, even if it then
	// refused to run it.
	Reached bool `cbor:"10,keyasint,omitempty"`
	// RefusedBy lists the services whose queues refused a call for lack of room: Pool, if
	// the attempt itself was refused so, and otherwise those that refused a call made during
	// the run, directly or further down. Only tarragon-agent sets it.
	RefusedBy []string `cbor:"11,keyasint,omitempty"`
}

// Load is the load of a backend server, as its daemon measures it.
type Load struct {
	Number      uint64        `cbor:"1,keyasint"` // a Load with a greater number is newer
	Running     int           `cbor:"2,keyasint"` // requests
	Waiting     int           `cbor:"3,keyasint"` // requests in the daemon's queue
	Limit       int           `cbor:"4,keyasint"` // the maximum of Running
	ServiceTime time.Duration `cbor:"5,keyasint"` // smoothed service time of a request; 0 if not measured
	// Slowdown is how long work takes at this moment, in percent of the normal time; 0: the
	// server does not report it. ServiceTime includes it.
	Slowdown int `cbor:"6,keyasint,omitempty"`
	// StartRate is the number of requests per second that a cold backend server is limited
	// to, 0 for no limit. Limit is then at least 1 and may understate it.
	StartRate float64 `cbor:"7,keyasint,omitempty"`
}

// AnswerAck confirms that an Answer arrived, so that the executing daemon need not
// retain it any longer.
type AnswerAck struct {
	ID AttemptID `cbor:"1,keyasint"`
}

// Settle requests the state of an attempt, for example after its link was lost. If the
// attempt has not started, the executing daemon fences it, so that it never runs.
type Settle struct {
	ID AttemptID `cbor:"1,keyasint"`
}

// SettleState is the state of an attempt in a SettleResult.
type SettleState uint8

// The settle states. After SettleAnswered the Answer follows as a separate message.
const (
	SettleFenced   SettleState = iota + 1 // has not run and never will
	SettleRunning                         // the Answer follows on this link when the run ends
	SettleAnswered                        // the run has ended; the Answer follows at once
	SettleUnknown                         // the incarnation has changed, so that the attempt may have run
)

// SettleResult answers a Settle.
type SettleResult struct {
	ID    AttemptID   `cbor:"1,keyasint"`
	State SettleState `cbor:"2,keyasint"`
}

// Cancel tells the executing daemon that the result of the attempt is no longer needed.
type Cancel struct {
	ID AttemptID `cbor:"1,keyasint"`
	// KeepStarted asks for an answer: an attempt that has not started is refused as not
	// executed, and one that has started continues. Only tarragon-agent uses it.
	KeepStarted bool `cbor:"2,keyasint,omitempty"`
}

// Forward passes a caller's request with its ticket to the ticket's owner, the daemon
// that holds the idempotency record. The reply is an Answer with the same id.
type Forward struct {
	ID      AttemptID `cbor:"1,keyasint"`
	Route   string    `cbor:"2,keyasint"`
	Ticket  string    `cbor:"3,keyasint"`
	Context Context   `cbor:"4,keyasint"`
	Request Request   `cbor:"5,keyasint"`
}

// GrantEntry is the part of a GrantRequest or GrantReply for one workspace. A token
// admits one request.
type GrantEntry struct {
	// Workspace and Slice are empty in an entry that only reports on a grant, which
	// the field Grant identifies.
	Workspace string `cbor:"1,keyasint,omitempty"`
	Slice     uint8  `cbor:"2,keyasint,omitempty"` // number of a slice of the workspace's rate, which has its own token bucket
	Want      uint32 `cbor:"3,keyasint,omitempty"` // tokens requested
	Granted   uint32 `cbor:"4,keyasint,omitempty"` // tokens granted
	Spent     uint32 `cbor:"5,keyasint,omitempty"` // tokens of Grant used for requests
	Returned  uint32 `cbor:"6,keyasint,omitempty"` // tokens of Grant not needed
	// Grant is the number of the grant that Spent and Returned report on, and in a
	// reply that of the new grant.
	Grant  uint64 `cbor:"7,keyasint,omitempty"`
	WaitMS uint32 `cbor:"8,keyasint,omitempty"` // time until the next token is available; 0 if one was granted
	// Spare is the number of tokens requested in addition to Want if the slice has
	// plenty of them.
	Spare uint32 `cbor:"9,keyasint,omitempty"`
}

// GrantRequest requests tokens from the keeper of a rate group, and reports on the use
// of earlier grants.
type GrantRequest struct {
	Number  uint64       `cbor:"1,keyasint"`
	Group   uint32       `cbor:"2,keyasint"`
	Entries []GrantEntry `cbor:"3,keyasint"`
}

// GrantReply answers a GrantRequest with the same number.
type GrantReply struct {
	Number  uint64       `cbor:"1,keyasint"`
	Group   uint32       `cbor:"2,keyasint"`
	Refused string       `cbor:"3,keyasint,omitempty"` // reason, if the replying daemon is not the keeper
	Entries []GrantEntry `cbor:"4,keyasint,omitempty"`
	// Keepers names the keeper that the replying daemon knows, if it is not the
	// keeper itself.
	Keepers []GroupKeeper `cbor:"5,keyasint,omitempty"`
}

// ConsentRequest is sent by the keeper of rate groups to their successor to renew its
// right to grant tokens.
type ConsentRequest struct {
	Number uint64   `cbor:"1,keyasint"`
	Groups []uint32 `cbor:"2,keyasint"`
}

// ConsentReply lists the groups for which the successor gives its consent.
type ConsentReply struct {
	Number uint64   `cbor:"1,keyasint"`
	Groups []uint32 `cbor:"2,keyasint"`
}

// Handover transfers state to a successor at a planned stop. The package that the
// state belongs to defines the encoding of Data.
type Handover struct {
	Number uint64 `cbor:"1,keyasint"`
	Kind   string `cbor:"2,keyasint"` // "tickets" or "groups"
	Data   []byte `cbor:"3,keyasint"`
	More   bool   `cbor:"4,keyasint,omitempty"` // another Handover of the same kind follows
}

// HandoverAck tells whether the successor holds the state of a Handover.
type HandoverAck struct {
	Number   uint64 `cbor:"1,keyasint"`
	Accepted bool   `cbor:"2,keyasint"` // false if the successor could not accept the state
}

// TablesRequest asks a peer for its tables.
type TablesRequest struct {
	Number uint64 `cbor:"1,keyasint"`
	// Version is that of the sender's tables, and Park is true if the answer may wait for
	// the peer's next confirmation. Only tarragon-agent sets them.
	Version uint64 `cbor:"2,keyasint,omitempty"`
	Park    bool   `cbor:"3,keyasint,omitempty"`
}

// TablesReply carries an encoded snapshot of the tables. For a requester that cannot
// read the log it also tells which keepers and members the sender knows.
type TablesReply struct {
	Number   uint64        `cbor:"1,keyasint"`
	Snapshot []byte        `cbor:"2,keyasint,omitempty"`
	Keepers  []GroupKeeper `cbor:"3,keyasint,omitempty"`
	// Alive is the number of members, other than the requester, that are alive in
	// the view of the sender.
	Alive int `cbor:"4,keyasint,omitempty"`
	// Only tarragon-agent sets the fields below. Its Snapshot is a snapshot of the
	// catalog, and empty if the requester's version is as new.
	Version uint64        `cbor:"5,keyasint,omitempty"` // in force at the sender
	Age     time.Duration `cbor:"6,keyasint,omitempty"` // since the sender's tables were confirmed
	Held    time.Duration `cbor:"7,keyasint,omitempty"` // from the receipt of the request to the reply
	// Next is the store's offset after the publication of Version, 0 if not known, and
	// NextEra the era to which it belongs.
	Next    uint64 `cbor:"8,keyasint,omitempty"`
	NextEra uint64 `cbor:"9,keyasint,omitempty"`
	// StoreEra is the greatest era of the store that the sender knows. Age counts only in
	// this era.
	StoreEra uint64 `cbor:"10,keyasint,omitempty"`
	// Evacuations is absent in replies of earlier releases.
	Evacuations *Evacuations `cbor:"11,keyasint,omitempty"`
}

// Evacuations is a daemon's copy of the evacuated zones, which is known up to a position
// of the store's log.
type Evacuations struct {
	Era    uint64   `cbor:"1,keyasint,omitempty"`
	Offset uint64   `cbor:"2,keyasint,omitempty"`
	Zones  []string `cbor:"3,keyasint,omitempty"` // that the store lists
	// Kept holds the zones whose record a restore has removed, and those about which the
	// store has told since.
	Kept []KeptZone `cbor:"4,keyasint,omitempty"`
}

// KeptZone is a zone that counts as evacuated although the store does not list it.
type KeptZone struct {
	_    struct{} `cbor:",toarray"`
	Zone string
	Left time.Duration // how long it still counts; 0: no longer
}

// GroupKeeper names the keeper of a rate group. If two messages differ, the one with
// the greater epoch is newer.
type GroupKeeper struct {
	Group       uint32 `cbor:"1,keyasint"`
	Member      string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Epoch       uint64 `cbor:"4,keyasint,omitempty"` // of the claim that made it the keeper
}

// GoAway means that the sender accepts no new attempts, or that the rate groups in
// Keepers have new keepers.
type GoAway struct {
	Reason  string        `cbor:"1,keyasint,omitempty"`
	Keepers []GroupKeeper `cbor:"2,keyasint,omitempty"`
}

// ServerState is the state of a backend server, as its agent determines it.
type ServerState uint8

// The states of a backend server. It accepts new requests while it is warming up or ready.
const (
	ServerAbsent ServerState = iota
	ServerWarmingUp
	ServerReady
	ServerDraining
)

// Usable reports whether a server in this state accepts new requests.
func (s ServerState) Usable() bool { return s == ServerWarmingUp || s == ServerReady }

// Status is the state of a tarragon-agent and of its backend server. Each agent sends
// it to all others over UDP, a few times a second. tarragond does not use it.
type Status struct {
	Member      string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Number      uint64 `cbor:"3,keyasint"` // of the same incarnation, a Status with a greater number is newer
	Address     string `cbor:"4,keyasint"` // for peer links and Status messages
	Zone        string `cbor:"5,keyasint"`
	Leaving     bool   `cbor:"6,keyasint,omitempty"`
	// Server is the id of the backend server, an instance of Service.
	Server    string        `cbor:"7,keyasint,omitempty"`
	Service   string        `cbor:"8,keyasint,omitempty"`
	State     ServerState   `cbor:"9,keyasint,omitempty"`
	Load      Load          `cbor:"10,keyasint"`
	QueueTime time.Duration `cbor:"11,keyasint,omitempty"`
	// Runs and Arrivals, which are by route, are inputs of the shedding plan.
	Runs     []shedding.RunReport `cbor:"12,keyasint,omitempty"`
	Arrivals []shedding.Arrivals  `cbor:"13,keyasint,omitempty"`
	// Usage holds the demand and the admitted requests at this daemon by workspace.
	Usage []WorkspaceUsage `cbor:"14,keyasint,omitempty"`
	// TablesVersion is the version of the tables that the sender uses, or 0 if it has none.
	TablesVersion uint64 `cbor:"15,keyasint,omitempty"`
	// Interval is the number of the interval that Arrivals and Usage cover. Each
	// Status sent within the same interval repeats them.
	Interval uint64 `cbor:"16,keyasint,omitempty"`
	// Ended is the rate of runs that ended, and Failed the rate of those that the
	// backend server refused or lost. Both are per second.
	Ended  float64 `cbor:"17,keyasint,omitempty"`
	Failed float64 `cbor:"18,keyasint,omitempty"`
	// TablesSource is where the sender's tables are confirmed. It is absent in statuses
	// of releases that do not answer a TablesRequest.
	TablesSource TablesSource `cbor:"19,keyasint,omitempty"`
	// Members is the digest of the members that the sender takes for live. It is zero in
	// statuses of releases that do not answer a MembersRequest.
	Members MembersDigest `cbor:"20,keyasint"`
	// Evacuations is absent if the sender has seen neither an evacuation nor a restore of
	// the store.
	Evacuations *Evacuations `cbor:"21,keyasint,omitempty"`
}

// MembersDigest stands for a set of members.
type MembersDigest struct {
	_     struct{} `cbor:",toarray"`
	Count uint32
	Names uint64 // the exclusive or of the XXH64 hashes of the names
}

// MembersRequest asks a tarragon-agent for the members that it takes for live, as
// datagrams to Address.
type MembersRequest struct {
	Address string `cbor:"1,keyasint"`
}

// MembersReply is a part of the answer to a MembersRequest.
type MembersReply struct {
	Members []MemberAddress `cbor:"1,keyasint"`
}

// MemberAddress tells where a member receives datagrams and peer links.
type MemberAddress struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Address string
	Zone    string
}

// Unlisted tells a tarragon-agent that the directory lacks its record.
type Unlisted struct{}

// TablesSource is where the tables of a tarragon-agent are confirmed.
type TablesSource uint8

// The sources of confirmations.
const (
	SourceUnknown   TablesSource = iota
	SourcePeers                  // it asks other members
	SourceStore                  // it reads the store for its availability zone
	SourceStoreLost              // it has to read the store, and the last read failed
)

// WorkspaceUsage is a daemon's report about one workspace. Since a Status holds one for
// each workspace with requests, it is encoded as an array, which takes less space.
type WorkspaceUsage struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	// Demand is the rate of requests, admitted or not, in hundredths of a request per
	// second.
	Demand uint32
	// Admitted counts the requests admitted since the daemon's start.
	Admitted uint64
}

// Relay carries the frame of a Status to one agent in another availability zone,
// which forwards it to the other agents in that zone.
type Relay struct {
	Frame []byte `cbor:"1,keyasint"`
}

// Type implements Message.
func (Relay) Type() Type { return TypeRelay }

// Type implements Message.
func (MembersRequest) Type() Type { return TypeMembersRequest }

// Type implements Message.
func (MembersReply) Type() Type { return TypeMembersReply }

// Type implements Message.
func (Unlisted) Type() Type { return TypeUnlisted }

// Type implements Message.
func (Status) Type() Type { return TypeStatus }

// Type implements Message.
func (Hello) Type() Type { return TypeHello }

// Type implements Message.
func (Ping) Type() Type { return TypePing }

// Type implements Message.
func (Pong) Type() Type { return TypePong }

// Type implements Message.
func (Attempt) Type() Type { return TypeAttempt }

// Type implements Message.
func (Answer) Type() Type { return TypeAnswer }

// Type implements Message.
func (AnswerAck) Type() Type { return TypeAnswerAck }

// Type implements Message.
func (Settle) Type() Type { return TypeSettle }

// Type implements Message.
func (SettleResult) Type() Type { return TypeSettleResult }

// Type implements Message.
func (Cancel) Type() Type { return TypeCancel }

// Type implements Message.
func (Forward) Type() Type { return TypeForward }

// Type implements Message.
func (GrantRequest) Type() Type { return TypeGrantRequest }

// Type implements Message.
func (GrantReply) Type() Type { return TypeGrantReply }

// Type implements Message.
func (ConsentRequest) Type() Type { return TypeConsentRequest }

// Type implements Message.
func (ConsentReply) Type() Type { return TypeConsentReply }

// Type implements Message.
func (Handover) Type() Type { return TypeHandover }

// Type implements Message.
func (HandoverAck) Type() Type { return TypeHandoverAck }

// Type implements Message.
func (TablesRequest) Type() Type { return TypeTablesRequest }

// Type implements Message.
func (TablesReply) Type() Type { return TypeTablesReply }

// Type implements Message.
func (GoAway) Type() Type { return TypeGoAway }
