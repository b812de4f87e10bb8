package daemon

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"tarragonshore.example/tarragonshore/internal/process/metrics"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// admin serves the admin port, which is read-only.
type admin struct {
	daemon  *Daemon
	metrics *metrics.Metrics
}

func (a *admin) handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.HandleFunc("/readyz", a.serveReady)
	router.HandleFunc("/status", a.serveStatus).Methods(http.MethodGet)
	if a.metrics != nil {
		router.Handle("/metrics", a.metrics.Handler())
	}
	return router
}

// serveReady answers 200 if the daemon has tables, its backend server is ready
// and the daemon is not stopping.
func (a *admin) serveReady(w http.ResponseWriter, _ *http.Request) {
	d := a.daemon
	switch {
	case d.leaving.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case d.configuration.current().Version == 0:
		http.Error(w, "no tables", http.StatusServiceUnavailable)
	case !d.server.snapshot().ready():
		http.Error(w, "backend server not ready", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// Status is the JSON document of /status.
type Status struct {
	Member      string         `json:"member"`
	Incarnation uint64         `json:"incarnation"`
	Zone        string         `json:"zone"`
	Version     tables.Version `json:"version"`
	Offset      uint64         `json:"offset"`
	// TablesAgeMS is the time since the end of the tables stream was last read, or
	// -1 if it never was.
	TablesAgeMS int64          `json:"tables_age_ms"`
	Leaving     bool           `json:"leaving"`
	Server      ServerStatus   `json:"server"`
	Members     []MemberStatus `json:"members"`
	Queue       QueueStatus    `json:"queue"`
	Rates       []GroupStatus  `json:"rate_groups"`
	Links       int            `json:"links"`
}

// ServerStatus describes the local backend server.
type ServerStatus struct {
	Name  string `json:"name"`
	Pool  string `json:"pool"`
	State string `json:"state"`
	Slots int    `json:"slots"`
}

// MemberStatus describes a member as this daemon sees it.
type MemberStatus struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Leaving     bool   `json:"leaving"`
}

// QueueStatus describes the admission queue of the local backend server.
type QueueStatus struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	Limit    int `json:"limit"`
}

// GroupStatus names the keeper of a rate group.
type GroupStatus struct {
	Group  uint32 `json:"group"`
	Keeper string `json:"keeper"`
	Epoch  uint64 `json:"epoch"`
}

func (a *admin) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.daemon.status(time.Now()))
}

// status collects the state of all components.
func (d *Daemon) status(now time.Time) Status {
	current := d.configuration.current()
	server := d.server.snapshot()
	s := Status{
		Member:      d.self.Member,
		Incarnation: d.self.Incarnation,
		Zone:        d.cfg.Zone,
		Version:     current.Version,
		Leaving:     d.leaving.Load(),
		Server:      ServerStatus{Name: server.name, Pool: server.pool, State: server.state.String(), Slots: server.slots},
		Queue:       d.executor.queueStatus(now),
		Rates:       d.rateGroups.status(),
		Links:       d.hub.LinkCount(),
	}
	s.Offset, s.TablesAgeMS = d.configuration.position(now)
	for _, member := range d.members.service.View().Members {
		s.Members = append(s.Members, MemberStatus{
			Name:        member.Name,
			Incarnation: member.Incarnation,
			Zone:        member.Zone,
			State:       member.State.String(),
			Leaving:     member.Leaving,
		})
	}
	return s
}

// queueStatus returns the state of the admission queue.
func (e *executor) queueStatus(now time.Time) QueueStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return QueueStatus{
		InFlight: e.admission.InFlight(),
		Queued:   e.admission.QueueLen(),
		Limit:    e.admission.Limit(now),
	}
}

// keptCount returns the number of rate groups of which this daemon is the keeper.
func (g *rateGroups) keptCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.keepers)
}

func versionText(v tables.Version) string { return strconv.FormatUint(uint64(v), 10) }
