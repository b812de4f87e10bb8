package testbed

import (
	"context"
	"crypto/rand"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/version/history"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// platformTimeout limits an append to the platform stand-in.
const platformTimeout = 5 * time.Second

// PublishInitialTables appends the first edit of an empty log. It does not read the
// edit back; WaitDaemonsReady waits until the daemons have applied it.
func (c *Cluster) PublishInitialTables(ctx context.Context, routes, pools string) error {
	next, err := tables.Parse([]byte(routes), []byte(pools))
	if err != nil {
		return err
	}
	id, err := history.NewEditID(rand.Reader)
	if err != nil {
		return err
	}
	edit := history.Edit{Changes: tables.Diff(tables.Empty(), next), ID: id, ResultDigest: next.Digest(), Author: "testbed"}
	record, err := edit.Encode()
	if err != nil {
		return err
	}
	_, err = platform.NewClient(c.PlatformAddr, platformTimeout).Append(ctx, platform.StreamTables, record)
	return err
}
