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
	readLimit = 256
	// readRetry is the pause after a read that failed or brought nothing new.
	readRetry = 250 * time.Millisecond
	// maxEditAttempts bounds how often an edit of single rows is made again
	// after another edit was accepted first.
	maxEditAttempts = 5
	// settleTime is left for the read-back when the command's context ends.
	settleTime = 2 * time.Second
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

// openReplay returns a session at the current version. With all, it also
// knows the versions before the newest snapshot, as far as the log goes.
func (a *app) openReplay(ctx context.Context, all bool) (*session, error) {
	control, err := a.settings()
	if err != nil {
		return nil, err
	}
	s := &session{
		env:      a.env,
		log:      a.env.OpenLog(control.Platform.Address.String()),
		reader:   history.NewReader(0, a.env.Rand), // appends no snapshots, so the retention time does not matter
		deadline: a.env.Now().Add(a.timeout),
	}
	if all {
		s.reader.ReplayAll()
	}
	return s, s.catchUp(ctx)
}

// errBehind tells that the platform's answers lack records that it gave before.
var errBehind = errors.New("the platform's answers lack records that are known")

// catchUp reads the stream to its end.
func (s *session) catchUp(ctx context.Context) error {
	for {
		_, progress, err := s.read(ctx)
		switch {
		case err == nil && s.reader.NeedsPeer():
			return refused("the log holds no sufficient snapshot of the tables", nil,
				"start a daemon or wait for one to append a snapshot; if no daemon has the tables, they are lost")
		case err == nil && s.reader.AtEnd():
			return nil
		case err == nil && progress:
			continue
		case err == nil:
			err = errBehind
		}
		if ctx.Err() != nil || !s.env.Now().Before(s.deadline) {
			return refused("the tables cannot be read", err, "check the platform's address and state, then try again; nothing was changed")
		}
		s.env.Sleep(ctx, readRetry)
	}
}

// read applies one batch; progress tells whether it brought the reader forward.
func (s *session) read(ctx context.Context) (events []history.Event, progress bool, err error) {
	from := s.reader.ReadFrom()
	batch, err := s.log.Read(ctx, platform.StreamTables, from, readLimit, 0)
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
	// changes computes the changes on the current tables. It is called again
	// for each attempt. No changes mean that there is nothing to do.
	changes func(current *tables.Tables) ([]tables.Change, error)
	// attempts is 1 for edits that must not be made on another base.
	attempts int
}

// published is the result of an edit.
type published struct {
	Version tables.Version  `json:"version"`
	Offset  platform.Offset `json:"offset"`
	ID      string          `json:"id,omitempty"`
	Changed bool            `json:"changed"`
	Changes []changeView    `json:"changes"`
}

// publish makes the edit on the current version and settles its outcome.
func (s *session) publish(ctx context.Context, e edit) (*published, error) {
	for attempt := 1; ; attempt++ {
		before := s.reader.Tables()
		changes, err := e.changes(before)
		if err != nil {
			return nil, err
		}
		if len(changes) == 0 {
			return &published{Version: s.reader.Version()}, nil
		}
		p, err := s.publishOnce(ctx, e, changes)
		if err != nil {
			return nil, err
		}
		switch p.Outcome() {
		case history.OutcomeAccepted:
			return &published{Version: p.Version(), Offset: p.Offset(), ID: p.ID().String(), Changed: true, Changes: viewChanges(before, changes)}, nil
		case history.OutcomeUnavailable:
			return nil, refused("the platform did not take the edit; it has no effect", p.Err(), "try again when the platform is available")
		case history.OutcomeUnknown:
			return nil, unknown("the outcome of edit "+p.ID().String()+" is not known", p.Err(),
				"wait until the platform is available, then look for the change with 'tarragonctl show' before making it again")
		}
		if p.Reason() != history.ReasonBaseNotCurrent {
			return nil, refused("the edit was rejected ("+string(p.Reason())+")", p.Err(), "use the same release of tarragonctl as the daemons")
		}
		if attempt >= e.attempts {
			return nil, refused(fmt.Sprintf("another edit was accepted first; the current version is %d; the edit has no effect", s.reader.Version()), nil,
				"review the other edit with 'tarragonctl diff', then make the change again")
		}
		if err := s.catchUp(ctx); err != nil {
			return nil, err
		}
	}
}

func (s *session) publishOnce(ctx context.Context, e edit, changes []tables.Change) (*history.Publisher, error) {
	result, err := s.reader.Tables().Apply(changes)
	if err != nil {
		return nil, refused("the tables would not be valid", err, "correct the change")
	}
	id, err := history.NewEditID(s.env.Random)
	if err != nil {
		return nil, refused("no random id", err, "")
	}
	p, err := history.NewPublisher(history.Edit{
		Base: s.reader.Version(), Changes: changes, ID: id, Result: result.Digest(), Author: e.author, Note: e.note,
	}, s.deadline, s.env.Rand)
	if err != nil {
		return nil, refused("the edit cannot be published", err, "")
	}
	s.drive(ctx, p)
	return p, nil
}

// drive carries out the publisher's steps. An interruption ends it at once
// before the first append; after that it may still settle the outcome.
func (s *session) drive(ctx context.Context, p *history.Publisher) {
	interrupted := false
	for {
		if ctx.Err() != nil && !interrupted {
			interrupted = true
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), settleTime)
			defer cancel()
		} else if ctx.Err() != nil {
			p.GiveUp()
		}
		switch p.Next(s.env.Now()) {
		case history.StepDone:
			return
		case history.StepAppend:
			if interrupted {
				p.GiveUp()
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

func (s *session) readBack(ctx context.Context, p *history.Publisher) {
	events, progress, err := s.read(ctx)
	if err != nil {
		p.ReadFailed(err, s.env.Now())
		return
	}
	p.Observe(s.reader, events, s.env.Now())
	if !progress && !s.reader.AtEnd() {
		s.env.Sleep(ctx, readRetry)
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
	return nil, 0, refused(fmt.Sprintf("version %d is not known", *version), nil,
		fmt.Sprintf("use a version from %d to %d", oldest, s.reader.Version()))
}

// parseFailure returns a refusal with all faults of the tables.
func parseFailure(err error) error {
	var faults tables.Errors
	if errors.As(err, &faults) {
		return refused(fmt.Sprintf("the tables have %d faults", len(faults)), err, "correct all of them")
	}
	return refused("the tables are not valid", err, "")
}
