package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/version/history"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Numbers of services and backend servers at the design size, and parameters of
// the replay.
const (
	designServices = 130
	designServers  = 1100
	replayedEdits  = 64
	retention      = 24 * time.Hour
)

// generateTables returns the routes and pools tables with the given numbers of rows.
func generateTables(routes, workspaces, servers int) (routesText, poolsText []byte) {
	var r, p strings.Builder
	for i := range designServices {
		fmt.Fprintf(&p, "[pool service-%03d]\n", i)
	}
	for i := range routes {
		fmt.Fprintf(&r, "[route route-%04d]\npath = /service-%03d/%d\npool = service-%03d\ntimeout = 1s\nidempotent = true\n", i, i%designServices, i/designServices, i%designServices)
	}
	for i := range workspaces {
		fmt.Fprintf(&p, "[workspace workspace-%04d]\nrate = 100\nburst = 100\n", i)
		fmt.Fprintf(&r, "[key %s]\nworkspace = workspace-%04d\n", tables.DigestKey(fmt.Sprint(i)), i)
	}
	for i := range servers {
		fmt.Fprintf(&p, "[server server-%04d]\n", i)
	}
	return []byte(r.String()), []byte(p.String())
}

// measureTables reports the cost of parsing, editing and storing tables.
func measureTables(_ context.Context, r *report) error {
	for _, rows := range [][3]int{{0, 100, 0}, {390, 100, 0}, {390, 100, 1100}, {390, 300, 1100}, {390, 1000, 1100}} {
		size := fmt.Sprintf("%d routes %d workspaces %d servers", rows[0], rows[1], rows[2])
		routes, pools := generateTables(rows[0], rows[1], rows[2])
		before := liveMemory()
		t, err := tables.Parse(routes, pools)
		if err != nil {
			return err
		}
		r.add(size, "tables memory", liveMemory()-before, "B")
		r.benchmark(size, "parse", func() { _, _ = tables.Parse(routes, pools) })
		if rows[2] < designServers {
			continue
		}
		drain := []tables.Change{{Server: &tables.Server{Name: "server-0007", Drain: true}}}
		r.benchmark(size, "apply an edit", func() { _, _ = t.Apply(drain) })
		if err := measureHistory(r, size, t); err != nil {
			return err
		}
		runtime.KeepAlive(t)
	}
	return nil
}

// measureHistory reports the sizes of the records of the tables stream and the CPU
// time to replay them.
func measureHistory(r *report, size string, t *tables.Tables) error {
	now := time.Unix(1_800_000_000, 0)
	snapshot, err := (&history.Snapshot{Version: 1, Tables: t, AsOf: 0, CurrentAt: now}).Encode()
	if err != nil {
		return err
	}
	r.add(size, "snapshot record", float64(len(snapshot)), "B")
	records := []platform.Record{{Offset: 1, Data: snapshot}}
	editBytes := 0
	for i := range replayedEdits {
		changes := []tables.Change{{Server: &tables.Server{Name: fmt.Sprintf("server-%04d", i), Drain: true}}}
		if t, err = t.Apply(changes); err != nil {
			return err
		}
		edit := history.Edit{Base: tables.Version(i + 1), Changes: changes, ID: history.EditID{byte(i), 1}, ResultDigest: t.Digest(), Author: "operator"}
		record, err := edit.Encode()
		if err != nil {
			return err
		}
		editBytes += len(record)
		records = append(records, platform.Record{Offset: platform.Offset(i + 2), Data: record})
	}
	r.add(size, "edit record", float64(editBytes)/replayedEdits, "B")
	// The record at offset 0 has expired. The reader therefore looks for a snapshot and
	// adopts it in the first Apply, and replays the edits in the second one.
	batch := platform.Batch{First: 1, Next: platform.Offset(len(records) + 1), Records: records}
	var last *history.Reader
	r.benchmark(size, fmt.Sprintf("snapshot and %d edits", replayedEdits), func() {
		last = history.NewReader(retention, rand.New(rand.NewPCG(1, 1)))
		last.Apply(batch, now)
		last.Apply(batch, now)
	})
	if last.Version() != replayedEdits+1 {
		return fmt.Errorf("the replay ended at version %d of %d", last.Version(), replayedEdits+1)
	}
	return nil
}
