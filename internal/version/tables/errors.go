package tables

import (
	"fmt"
	"strings"

	"tarragonshore.example/tarragonshore/internal/version/strictini"
)

// Table names one of the two tables in errors and command output.
type Table string

// The two tables.
const (
	TableRoutes Table = "routes"
	TablePools  Table = "pools"
)

// Reason is the kind of an error in the tables.
type Reason string

// The kinds of errors.
const (
	ReasonSyntax            Reason = "syntax"
	ReasonUnknownSection    Reason = "unknown-section"
	ReasonUnknownKey        Reason = "unknown-key"
	ReasonDuplicateSection  Reason = "duplicate-section"
	ReasonDuplicateKey      Reason = "duplicate-key"
	ReasonMissingKey        Reason = "missing-key"
	ReasonBadName           Reason = "bad-name"
	ReasonBadValue          Reason = "bad-value"
	ReasonDanglingReference Reason = "dangling-reference"
	ReasonAmbiguousRoute    Reason = "ambiguous-route"
	ReasonTooLarge          Reason = "too-large"
	ReasonRowNotFound       Reason = "row-not-found"
	ReasonBadChange         Reason = "bad-change"
)

// Error is one error in the tables.
type Error struct {
	Reason Reason `json:"reason"`
	Table  Table  `json:"table"`
	// Section is the name of the section with the error, without the brackets; empty
	// if the error is in none.
	Section string `json:"section,omitempty"`
	// Key is the name of the setting with the error; empty if the error is in none.
	Key    string `json:"key,omitempty"`
	Value  string `json:"value,omitempty"`
	Remedy string `json:"remedy"`
}

// Error returns table, section, key, reason, value and remedy in one line.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s table", e.Table)
	if e.Section != "" {
		fmt.Fprintf(&b, ", section [%s]", e.Section)
	}
	if e.Key != "" {
		fmt.Fprintf(&b, ", key %s", e.Key)
	}
	fmt.Fprintf(&b, ": %s", e.Reason)
	if e.Value != "" {
		fmt.Fprintf(&b, " %q", truncate(e.Value))
	}
	fmt.Fprintf(&b, "; remedy: %s", e.Remedy)
	return b.String()
}

// maxQuotedBytes is the length at which a value quoted in a message is cut.
const maxQuotedBytes = 128

func truncate(value string) string {
	if len(value) <= maxQuotedBytes {
		return value
	}
	return value[:maxQuotedBytes] + "..."
}

// Errors holds all errors found, in the order of their detection.
type Errors []*Error

// Error returns one line per error.
func (e Errors) Error() string { return strictini.JoinMessages(e) }

// Unwrap returns the single errors for errors.Is and errors.As.
func (e Errors) Unwrap() []error { return strictini.AsErrors(e) }

func (e *Errors) add(reason Reason, ref RowRef, key, value, remedy string) {
	*e = append(*e, &Error{Reason: reason, Table: ref.Kind.Table(), Section: ref.section(), Key: key, Value: value, Remedy: remedy})
}
