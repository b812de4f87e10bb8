package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/version/history"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

const (
	maxReadRecords = 256
	// readRetryInterval is the wait after a read that failed or returned no new records.
	readRetryInterval = 250 * time.Millisecond
	// maxEditAttempts limits the attempts of an edit to single rows, which is
	// retried when another edit was accepted first.
	maxEditAttempts = 5
	// interruptGrace is the time for reading back whether an appended edit was
	// accepted after the user interrupts the command.
	interruptGrace = 2 * time.Second
)

// session reads the tables from the log and publishes edits.
type session struct {
	env      Environment
	log      platform.Log
	reader   *history.Reader
	deadline time.Time
}

// open returns a session at the current version.
func (a *app) open(ctx context.Context) (*session, error) {
	return a.openReplay(ctx, false)
}

// openReplay returns a session at the current version. With fullHistory, it also
// replays the retained records before the newest snapshot, so that older
// versions are available.
func (a *app) openReplay(ctx context.Context, fullHistory bool) (*session, error) {
	loaded, err := a.settings()
	if err != nil {
		return nil, err
	}
	s := &session{
		env:      a.env,
		log:      a.env.OpenLog(loaded.Platform.Address.String()),
		reader:   history.NewReader(0, a.env.Rand), // the retention time only matters to readers that append snapshots
		deadline: a.env.Now().Add(a.timeout),
	}
	if fullHistory {
		s.reader.PreferOldestSnapshot()
	}
	return s, s.catchUp(ctx)
}

// errStaleRead means that a read returned nothing new although earlier responses
// of the platform showed that the log has more records.
var errStaleRead = errors.New("the platform returned no new records although the known end of the log is not reached")

// catchUp reads the tables stream to its end. It repeats failed reads until the
// deadline.
func (s *session) catchUp(ctx context.Context) error {
	for {
		_, progress, err := s.read(ctx)
		switch {
		case err == nil && s.reader.NeedsPeerSnapshot():
			return refusedError("the log holds no sufficient snapshot of the tables", nil,
				"start a daemon or wait for one to append a snapshot; if no daemon has the tables, they are lost")
		case err == nil && s.reader.AtEnd():
			return nil
		case err == nil && progress:
			continue
		case err == nil:
			err = errStaleRead
		}
		if ctx.Err() != nil || !s.env.Now().Before(s.deadline) {
			return refusedError("the tables cannot be read", err, "check the platform's address and state, then try again; nothing was changed")
		}
		s.env.Sleep(ctx, readRetryInterval)
	}
}

// read applies one batch of records; progress reports whether the reader's
// position advanced.
func (s *session) read(ctx context.Context) (events []history.Event, progress bool, err error) {
	from := s.reader.ReadFrom()
	batch, err := s.log.Read(ctx, platform.StreamTables, from, maxReadRecords, 0)
	if err != nil {
		return nil, false, err
	}
	events = s.reader.Apply(batch, s.env.Now())
	return events, s.reader.ReadFrom() != from, nil
}

// edit describes a change to publish.
type edit struct {
	author string
	note   string
	// changes computes the changes against the current tables, once per attempt.
	// An empty result means that there is nothing to publish.
	changes func(current *tables.Tables) ([]tables.Change, error)
	// maxAttempts is 1 for edits that are only valid on the current version.
	maxAttempts int
}

// publishResult is the result of an edit.
type publishResult struct {
	Version tables.Version  `json:"version"`
	Offset  platform.Offset `json:"offset"`
	ID      string          `json:"id,omitempty"`
	Changed bool            `json:"changed"`
	Changes []changeView    `json:"changes"`
}

// publish publishes the edit on the current version and determines whether it
// was accepted.
func (s *session) publish(ctx context.Context, e edit) (*publishResult, error) {
	for attempt := 1; ; attempt++ {
		before := s.reader.Tables()
		changes, err := e.changes(before)
		if err != nil {
			return nil, err
		}
		if len(changes) == 0 {
			return &publishResult{Version: s.reader.Version()}, nil
		}
		p, err := s.publishOnce(ctx, e, changes)
		if err != nil {
			return nil, err
		}
		switch p.Outcome() {
		case history.OutcomeAccepted:
			return &publishResult{Version: p.Version(), Offset: p.Offset(), ID: p.ID().String(), Changed: true, Changes: describeChanges(before, changes)}, nil
		case history.OutcomeUnavailable:
			return nil, refusedError("the platform did not accept the edit; it has no effect", p.Err(), "try again when the platform is available")
		case history.OutcomeUnknown:
			return nil, unknownOutcomeError("the outcome of edit "+p.ID().String()+" is not known", p.Err(),
				"wait until the platform is available, then look for the change with 'tarragonctl show' before making it again")
		}
		if p.Reason() != history.ReasonBaseNotCurrent {
			return nil, refusedError("the edit was rejected ("+string(p.Reason())+")", p.Err(), "use the same release of tarragonctl as the daemons")
		}
		if attempt >= e.maxAttempts {
			return nil, refusedError(fmt.Sprintf("another edit was accepted first; the current version is %d; the edit has no effect", s.reader.Version()), nil,
				"review the other edit with 'tarragonctl diff', then make the change again")
		}
		if err := s.catchUp(ctx); err != nil {
			return nil, err
		}
	}
}

// publishOnce publishes the changes on the current version and returns the publisher, which
// holds the outcome.
func (s *session) publishOnce(ctx context.Context, e edit, changes []tables.Change) (*history.Publisher, error) {
	result, err := s.reader.Tables().Apply(changes)
	if err != nil {
		return nil, refusedError("the tables would not be valid", err, "correct the change")
	}
	id, err := history.NewEditID(s.env.Random)
	if err != nil {
		return nil, refusedError("the ID of the edit cannot be generated", err, "check the system's source of random numbers; nothing was changed")
	}
	p, err := history.NewPublisher(history.Edit{
		Base: s.reader.Version(), Changes: changes, ID: id, ResultDigest: result.Digest(), Author: e.author, Note: e.note,
	}, s.deadline, s.env.Rand)
	if err != nil {
		return nil, refusedError("the edit cannot be published", err, "")
	}
	s.runPublisher(ctx, p)
	return p, nil
}

// runPublisher executes the publisher's steps. If ctx ends before the first
// append, it stops at once. After an append it may read for interruptGrace, to
// find out whether the edit was accepted.
func (s *session) runPublisher(ctx context.Context, p *history.Publisher) {
	interrupted := false
	for {
		if ctx.Err() != nil && !interrupted {
			interrupted = true
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), interruptGrace)
			defer cancel()
		} else if ctx.Err() != nil {
			p.Cancel()
		}
		switch p.Next(s.env.Now()) {
		case history.StepDone:
			return
		case history.StepAppend:
			if interrupted {
				p.Cancel()
				continue
			}
			_, err := s.log.Append(ctx, platform.StreamTables, p.Record())
			p.Appended(err, s.env.Now())
		case history.StepRead:
			s.readBack(ctx, p)
		case history.StepWait:
			s.env.Sleep(ctx, p.WaitUntil().Sub(s.env.Now()))
		}
	}
}

// readBack reads a batch of the tables stream, so that the publisher can find its own
// edit in it.
func (s *session) readBack(ctx context.Context, p *history.Publisher) {
	events, progress, err := s.read(ctx)
	if err != nil {
		p.ReadFailed(err, s.env.Now())
		return
	}
	p.Observe(s.reader, events, s.env.Now())
	if !progress && !s.reader.AtEnd() {
		s.env.Sleep(ctx, readRetryInterval)
	}
}

// tablesAt returns the tables of a version, or the current ones for nil.
func (s *session) tablesAt(version *tables.Version) (*tables.Tables, tables.Version, error) {
	if version == nil {
		return s.reader.Tables(), s.reader.Version(), nil
	}
	if t, ok := s.reader.TablesAt(*version); ok {
		return t, *version, nil
	}
	oldest := s.reader.Versions()[0].Version
	return nil, 0, refusedError(fmt.Sprintf("version %d is not known", *version), nil,
		fmt.Sprintf("use a version from %d to %d", oldest, s.reader.Version()))
}

// parseFailure returns the error for tables that are not valid, with all errors that
// the parser found.
func parseFailure(err error) error {
	var tableErrors tables.Errors
	if errors.As(err, &tableErrors) {
		return refusedError(fmt.Sprintf("the tables have %d errors", len(tableErrors)), err, "correct all of them")
	}
	return refusedError("the tables are not valid", err, "")
}
