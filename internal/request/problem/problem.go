// Package problem defines the errors with which tarragonshore refuses a request. Callers
// receive them in the format of RFC 9457 (application/problem+json).
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of an encoded refusal (RFC 9457, section 3).
const ContentType = "application/problem+json"

// Kind identifies the cause of a refusal.
type Kind string

// The kinds of refusal. Kind.Status returns the HTTP status of each.
const (
	KindKeyMissing       Kind = "key-missing"
	KindKeyUnknown       Kind = "key-unknown"
	KindRouteForbidden   Kind = "route-forbidden"
	KindRouteNotFound    Kind = "route-not-found"
	KindTicketConflict   Kind = "ticket-conflict"
	KindBodyTooLarge     Kind = "body-too-large"
	KindHeaderTooLarge   Kind = "header-too-large"
	KindTicketRequired   Kind = "ticket-required"
	KindTicketInvalid    Kind = "ticket-invalid"
	KindParentIdempotent Kind = "parent-idempotent"
	KindRequestInvalid   Kind = "request-invalid"
	KindRateExceeded     Kind = "rate-exceeded"
	KindRateUnavailable  Kind = "rate-unavailable"
	KindOverloaded       Kind = "overloaded"
	KindNoUpstream       Kind = "no-upstream"
	KindDraining         Kind = "draining"
	KindEvacuated        Kind = "evacuated"
	KindTablesStale      Kind = "tables-stale"
	KindDeadline         Kind = "deadline-exceeded"
	KindOutcomeUnknown   Kind = "outcome-unknown"
	KindUpstreamFailed   Kind = "upstream-failed"
)

// kindInfo holds the parts of a refusal that are the same for all refusals of a kind.
type kindInfo struct {
	status int
	title  string
	remedy string // what the caller or the operators can do
}

var kinds = map[Kind]kindInfo{
	KindKeyMissing:       {http.StatusUnauthorized, "no key", "send the workspace's key as 'Authorization: Bearer KEY'"},
	KindKeyUnknown:       {http.StatusUnauthorized, "unknown or withdrawn key", "use a key that is in the routes table"},
	KindRouteForbidden:   {http.StatusForbidden, "route not allowed for this workspace", "ask the operators to allow the workspace on this route"},
	KindRouteNotFound:    {http.StatusNotFound, "no route", "check method and path against the routes table"},
	KindTicketConflict:   {http.StatusConflict, "ticket was used with another request", "get a new ticket for a new request"},
	KindBodyTooLarge:     {http.StatusRequestEntityTooLarge, "body too large", "send a smaller body"},
	KindHeaderTooLarge:   {http.StatusRequestHeaderFieldsTooLarge, "header too large", "send fewer or shorter header fields"},
	KindTicketRequired:   {http.StatusPreconditionRequired, "ticket required", "POST to /.well-known/tarragonshore/tickets and send the ticket as Idempotency-Key"},
	KindTicketInvalid:    {http.StatusPreconditionRequired, "ticket invalid or expired", "get a new ticket; if this one was used before, check first whether that request ran"},
	KindParentIdempotent: {http.StatusForbidden, "non-idempotent call below an idempotent parent", "mark the parent's route as non-idempotent"},
	KindRequestInvalid:   {http.StatusBadRequest, "invalid request", "correct the request as the detail says"},
	KindRateExceeded:     {http.StatusTooManyRequests, "workspace is over its rate", "wait for the time in Retry-After"},
	KindRateUnavailable:  {http.StatusServiceUnavailable, "rate cannot be checked", "retry after the time in Retry-After; operators: check the keepers of the rate groups"},
	KindOverloaded:       {http.StatusServiceUnavailable, "shed under overload", "retry after the time in Retry-After"},
	KindNoUpstream:       {http.StatusServiceUnavailable, "no usable upstream", "retry after the time in Retry-After; operators: check the pool's members"},
	KindDraining:         {http.StatusServiceUnavailable, "draining", "retry; another host takes the request"},
	KindEvacuated:        {http.StatusServiceUnavailable, "zone evacuated", "retry; operators: end the evacuation of the zone or add capacity in others"},
	KindTablesStale:      {http.StatusServiceUnavailable, "tables cannot be shown to be current", "retry; operators: check this host's way to the platform and to other members"},
	KindDeadline:         {http.StatusGatewayTimeout, "deadline exceeded", "allow more time with Request-Timeout, or retry later"},
	KindOutcomeUnknown:   {http.StatusGatewayTimeout, "outcome unknown", "check whether the request took effect before sending it again"},
	KindUpstreamFailed:   {http.StatusBadGateway, "upstream failed", "check whether the request took effect before sending it again"},
}

// Status returns the HTTP status of a kind, or 500 for an undefined kind.
func (k Kind) Status() int {
	if info, ok := kinds[k]; ok {
		return info.status
	}
	return http.StatusInternalServerError
}

// Executed states whether a refused request ran.
type Executed string

const (
	// ExecutedNo states that the request never ran and never will. It may be used
	// only if this is proven, since callers rely on it to retry.
	ExecutedNo Executed = "no"
	// ExecutedUnknown states that the request may have run. It is used in all other
	// cases.
	ExecutedUnknown Executed = "unknown"
)

// Problem is the refusal of a request. It implements error.
type Problem struct {
	Kind       Kind
	Executed   Executed
	Detail     string        // what the kind does not say about this refusal
	RetryAfter time.Duration // 0 if waiting does not help
}

// New returns a refusal of a request that did not run.
func New(kind Kind, detail string) *Problem {
	return &Problem{Kind: kind, Executed: ExecutedNo, Detail: detail}
}

// Unknown returns a refusal of a request that may have run.
func Unknown(kind Kind, detail string) *Problem {
	return &Problem{Kind: kind, Executed: ExecutedUnknown, Detail: detail}
}

// WithRetryAfter sets the time to wait before a retry and returns p.
func (p *Problem) WithRetryAfter(wait time.Duration) *Problem {
	p.RetryAfter = wait
	return p
}

// Error returns the kind, the detail and the remedy on one line.
func (p *Problem) Error() string {
	return string(p.Kind) + ": " + p.Detail + "; remedy: " + kinds[p.Kind].remedy
}

// document is the JSON form of a Problem.
type document struct {
	Type     string   `json:"type"`
	Title    string   `json:"title"`
	Status   int      `json:"status"`
	Detail   string   `json:"detail,omitempty"`
	Kind     Kind     `json:"kind"`
	Executed Executed `json:"executed"`
	Remedy   string   `json:"remedy"`
}

// Encode returns the JSON document of p.
func (p *Problem) Encode() []byte {
	info := kinds[p.Kind]
	body, err := json.Marshal(document{
		Type:     "about:blank",
		Title:    info.title,
		Status:   p.Kind.Status(),
		Detail:   p.Detail,
		Kind:     p.Kind,
		Executed: p.Executed,
		Remedy:   info.remedy,
	})
	if err != nil {
		return []byte(`{"status":500}`)
	}
	return body
}

// Write sends p as the response to the caller. Retry-After is rounded up to whole
// seconds.
func (p *Problem) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", ContentType)
	if p.RetryAfter > 0 {
		seconds := int(math.Ceil(p.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(p.Kind.Status())
	_, _ = w.Write(p.Encode())
}
