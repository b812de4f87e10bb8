package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"tarragonshore.example/tarragonshore/internal/connection/caller"
	"tarragonshore.example/tarragonshore/internal/request/problem"
	"tarragonshore.example/tarragonshore/internal/request/ticket"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// issuedTicket is the JSON answer to a ticket request.
type issuedTicket struct {
	Ticket string `json:"ticket"`
	// ExpiresInSeconds is the time for which the ticket can be used.
	ExpiresInSeconds int `json:"expires_in_s"`
}

// serveTicket issues a ticket for one non-idempotent request.
func (p *callerPort) serveTicket(w http.ResponseWriter, r *http.Request) {
	if p.leaving() {
		w.Header().Set("Connection", "close")
	}
	key, refusal := caller.BearerKey(r.Header)
	if refusal != nil {
		refusal.Write(w)
		return
	}
	workspace, ok := p.configuration.current().Tables.WorkspaceOfKey(tables.DigestKey(key))
	if !ok {
		problem.New(problem.KindKeyUnknown, "the key is not in the routes table").Write(w)
		return
	}
	if refusal := p.configuration.checkFreshness(time.Now()); refusal != nil {
		refusal.Write(w)
		return
	}
	issued, refusal := p.tickets.issue(workspace)
	if refusal != nil {
		refusal.Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(issuedTicket{
		Ticket:           issued,
		ExpiresInSeconds: int(ticket.Lifetime / time.Second),
	})
}
