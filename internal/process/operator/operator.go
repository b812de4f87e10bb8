// Package operator holds the commands of tarragonctl.
package operator

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"os"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/membership"
	"tarragonshore.example/tarragonshore/internal/process/platform"
	"tarragonshore.example/tarragonshore/internal/process/settings"
	"tarragonshore.example/tarragonshore/internal/version/tables"
)

// Exit codes of tarragonctl.
const (
	ExitDone    = 0
	ExitRefused = 1
	ExitUsage   = 2
	// ExitOutcomeUnknown means that the change may or may not have been accepted, or
	// that it was accepted but not all daemons were seen to have it in force.
	ExitOutcomeUnknown = 3
)

// Environment holds the external dependencies of the commands; tests replace them.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Variables are "NAME=value" items, as from os.Environ.
	Variables []string
	// OpenLog returns the log of the platform at an address.
	OpenLog func(address string) platform.Log
	// Get sends an HTTP request. The caller limits how much of the body it reads.
	Get func(request *http.Request) (*http.Response, error)
	// DecodeMember decodes a record of the "members" stream. If it is nil, the
	// admin ports must be given as flags or settings.
	DecodeMember func(record []byte) (Member, bool)
	// Configurations checks configurations of a shared platform. If it is nil, the command
	// check is not available.
	Configurations ConfigurationChecker
	Now            func() time.Time
	// Sleep waits, or returns early if the context ends.
	Sleep  func(ctx context.Context, d time.Duration)
	Random io.Reader
	Rand   *mathrand.Rand
}

// statusTimeout limits one request to an admin port.
const statusTimeout = 2 * time.Second

// SystemEnvironment returns the environment of a real process.
func SystemEnvironment() Environment {
	client := &http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return Environment{
		Stdin:        os.Stdin,
		Stdout:       os.Stdout,
		Stderr:       os.Stderr,
		Variables:    os.Environ(),
		OpenLog:      func(address string) platform.Log { return platform.NewClient(address, 0) },
		Get:          client.Do,
		DecodeMember: memberFromRecord,
		Now:          time.Now,
		Sleep: func(ctx context.Context, d time.Duration) {
			select {
			case <-ctx.Done():
			case <-time.After(d):
			}
		},
		Random: rand.Reader,
		Rand:   mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())),
	}
}

// memberFromRecord decodes a record of the "members" stream, the announcement of a
// daemon.
func memberFromRecord(record []byte) (Member, bool) {
	_, r, err := membership.DecodeAnnouncement(record, time.Now())
	return Member{Name: r.Name, Incarnation: r.Incarnation, Admin: r.Admin, Left: r.Left}, err == nil
}

// Failure is an error with an exit code and a remedy.
type Failure struct {
	Code   int
	Detail string
	Remedy string
	Err    error
}

// Error names the cause and the remedy.
func (f *Failure) Error() string {
	text := f.Detail
	if f.Err != nil {
		text += ": " + f.Err.Error()
	}
	if f.Remedy != "" {
		text += "; remedy: " + f.Remedy
	}
	return text
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

func refusedError(detail string, err error, remedy string) error {
	return &Failure{Code: ExitRefused, Detail: detail, Err: err, Remedy: remedy}
}

func usageError(detail string, err error, remedy string) error {
	return &Failure{Code: ExitUsage, Detail: detail, Err: err, Remedy: remedy}
}

func unknownOutcomeError(detail string, err error, remedy string) error {
	return &Failure{Code: ExitOutcomeUnknown, Detail: detail, Err: err, Remedy: remedy}
}

// errConfigChecked stops a command after --check-config found the settings
// valid; Run turns it into ExitDone.
var errConfigChecked = errors.New("the settings are valid")

// Run executes the command line and returns the exit code.
func Run(ctx context.Context, args []string, env Environment) int {
	app := &app{env: env, output: "text"}
	root := app.root()
	root.SetArgs(args)
	root.SetIn(env.Stdin)
	root.SetOut(env.Stdout)
	root.SetErr(env.Stderr)
	err := root.ExecuteContext(ctx)
	if err == nil || errors.Is(err, errConfigChecked) {
		return ExitDone
	}
	var failure *Failure
	if !errors.As(err, &failure) { // cobra returns its own errors only for a wrong command line
		failure = &Failure{Code: ExitUsage, Detail: err.Error(), Remedy: "see tarragonctl --help"}
	}
	app.report(failure)
	return failure.Code
}

var codeNames = map[int]string{ExitRefused: "refused", ExitUsage: "usage", ExitOutcomeUnknown: "outcome-unknown"}

// report prints a failure on standard error in the output format of the command.
func (a *app) report(f *Failure) {
	if a.output != "json" {
		_, _ = fmt.Fprintln(a.env.Stderr, "tarragonctl: "+codeNames[f.Code]+": "+f.Error())
		return
	}
	detail := f.Detail
	if f.Err != nil {
		detail += ": " + f.Err.Error()
	}
	report := map[string]any{"error": codeNames[f.Code], "detail": detail, "remedy": f.Remedy}
	var tableErrors tables.Errors
	if errors.As(f.Err, &tableErrors) {
		report["detail"], report["faults"] = f.Detail, tableErrors
	}
	_ = json.NewEncoder(a.env.Stderr).Encode(report)
}

// app is one run of tarragonctl: its environment and the values of the flags that
// several commands share.
type app struct {
	env         Environment
	config      string
	checkConfig bool
	output      string
	timeout     time.Duration
	author      string
	note        string
	daemons     []string
}

// print writes the result of a command: text, or value as JSON with --output json.
func (a *app) print(text string, value any) error {
	var err error
	if a.output == "json" {
		encoder := json.NewEncoder(a.env.Stdout)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(value)
	} else {
		_, err = io.WriteString(a.env.Stdout, text)
	}
	if err != nil {
		return unknownOutcomeError("the result cannot be written", err, "read the current state with tarragonctl show")
	}
	return nil
}

func (a *app) settings() (*settings.Tarragonctl, error) {
	loaded, err := settings.LoadTarragonctl(a.config, a.env.Variables)
	if err != nil {
		return nil, usageError("the settings are not valid", err, "correct the settings, or choose others with --config")
	}
	return loaded, nil
}
