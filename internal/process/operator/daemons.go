package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

const (
	maxStatusBytes = 256 << 10
	// maxConcurrentQueries limits the concurrent requests to admin ports.
	maxConcurrentQueries = 32
	inForcePollInterval  = 200 * time.Millisecond
)

// Member is the state of a daemon according to a record of the "members" stream.
type Member struct {
	Name        string
	Incarnation uint64
	Admin       netip.AddrPort
	Left        bool
}

// daemonStatus is the response to GET /status on an admin port. Error is set instead if
// there is no valid response.
type daemonStatus struct {
	Member      string          `json:"member,omitempty"`
	Incarnation uint64          `json:"incarnation,omitempty"`
	Version     tables.Version  `json:"version"`
	Offset      platform.Offset `json:"offset"`
	Admin       string          `json:"admin"`
	Error       string          `json:"error,omitempty"`
	// Report is the unparsed response.
	Report json.RawMessage `json:"report,omitempty"`
}

// adminAddresses returns the addresses of the daemons' admin ports: from the
// flags, else from the settings, else from the members stream of the log.
func (a *app) adminAddresses(ctx context.Context, log platform.Log) ([]string, error) {
	if len(a.daemons) > 0 {
		for _, d := range a.daemons {
			if _, err := netip.ParseAddrPort(d); err != nil {
				return nil, usageError("invalid address: --daemon "+d, err, "use IP:port of the daemon's admin port")
			}
		}
		return a.daemons, nil
	}
	loaded, err := a.settings()
	if err != nil {
		return nil, err
	}
	if len(loaded.Daemons.Admin) > 0 {
		var addresses []string
		for _, p := range loaded.Daemons.Admin {
			addresses = append(addresses, p.String())
		}
		return addresses, nil
	}
	if a.env.DecodeMember == nil {
		return nil, usageError("no daemons are known", nil, "give --daemon IP:port or the setting [daemons] admin")
	}
	return a.membersFromLog(ctx, log)
}

// membersFromLog returns the admin addresses of the members that have not left. Of
// each member, the record of the newest incarnation counts.
func (a *app) membersFromLog(ctx context.Context, log platform.Log) ([]string, error) {
	newest := map[string]Member{}
	for from := platform.Offset(0); ; {
		batch, err := log.Read(ctx, platform.StreamMembers, from, maxReadRecords, 0)
		if err != nil {
			return nil, refusedError("the members cannot be read", err, "give --daemon IP:port, or check the platform")
		}
		for _, record := range batch.Records {
			from = record.Offset + 1
			if m, ok := a.env.DecodeMember(record.Data); ok && m.Incarnation >= newest[m.Name].Incarnation {
				newest[m.Name] = m
			}
		}
		if len(batch.Records) == 0 || from >= batch.Next {
			break
		}
	}
	var addresses []string
	for _, m := range newest {
		if !m.Left && m.Admin.IsValid() {
			addresses = append(addresses, m.Admin.String())
		}
	}
	slices.Sort(addresses)
	if len(addresses) == 0 {
		return nil, refusedError("the log names no daemons", nil, "give --daemon IP:port, or wait: a daemon that started without the platform announces itself up to 30 s after it is back")
	}
	return addresses, nil
}

// queryDaemons returns the status of each daemon, ordered by member name and address.
func (a *app) queryDaemons(ctx context.Context, addresses []string) []daemonStatus {
	list := make([]daemonStatus, len(addresses))
	slots := make(chan struct{}, maxConcurrentQueries)
	var group sync.WaitGroup
	for i, address := range addresses {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			list[i] = a.queryDaemon(ctx, address)
		})
	}
	group.Wait()
	slices.SortFunc(list, func(x, y daemonStatus) int {
		return cmp.Or(cmp.Compare(x.Member, y.Member), cmp.Compare(x.Admin, y.Admin))
	})
	return list
}

func (a *app) queryDaemon(ctx context.Context, address string) daemonStatus {
	status := daemonStatus{Admin: address}
	body, err := a.fetch(ctx, "http://"+address+"/status")
	if err == nil {
		err = json.Unmarshal(body, &status)
		status.Report = body
	}
	status.Admin = address
	if err != nil {
		return daemonStatus{Admin: address, Error: err.Error()}
	}
	return status
}

func (a *app) fetch(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := a.env.Get(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
}

// inForceReport reports when a daemon was first seen to have a version in force.
type inForceReport struct {
	Member  string         `json:"member,omitempty"`
	Admin   string         `json:"admin"`
	Version tables.Version `json:"version"`
	AfterMS int64          `json:"after_ms"` // since the wait began; -1 if not in force by its end
	Error   string         `json:"error,omitempty"`
}

// waitInForce polls the daemons until all have at least the version in force or
// limit has passed. all reports whether they have.
func (a *app) waitInForce(ctx context.Context, addresses []string, version tables.Version, limit time.Duration) (reports []inForceReport, all bool) {
	start := a.env.Now()
	missing := slices.Clone(addresses)
	for {
		last := a.queryDaemons(ctx, missing)
		missing = nil
		var pending []inForceReport
		for _, d := range last {
			report := inForceReport{Member: d.Member, Admin: d.Admin, Version: d.Version, AfterMS: a.env.Now().Sub(start).Milliseconds(), Error: d.Error}
			if d.Error == "" && d.Version >= version {
				reports = append(reports, report)
				continue
			}
			report.AfterMS = -1
			missing, pending = append(missing, d.Admin), append(pending, report)
		}
		if len(missing) == 0 {
			return reports, true
		}
		if ctx.Err() != nil || a.env.Now().Sub(start) >= limit {
			return append(reports, pending...), false
		}
		a.env.Sleep(ctx, inForcePollInterval)
	}
}

func formatInForce(reports []inForceReport) string {
	var b strings.Builder
	for _, r := range reports {
		switch {
		case r.Error != "":
			fmt.Fprintf(&b, "%s  not known: %s\n", r.Admin, r.Error)
		case r.AfterMS < 0:
			fmt.Fprintf(&b, "%s  %s  still at version %d\n", r.Admin, r.Member, r.Version)
		default:
			fmt.Fprintf(&b, "%s  %s  version %d in force, seen after %d ms\n", r.Admin, r.Member, r.Version, r.AfterMS)
		}
	}
	return b.String()
}
