// Package logging writes events to klog, each as one line of key=value pairs. The values
// of known secrets, such as the keys of workspaces, are redacted.
package logging

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync/atomic"

	"k8s.io/klog/v2"
)

// Level is the severity of an event.
type Level int32

// The levels in increasing severity. Events below the level given to Setup are not
// written.
const (
	Debug Level = iota
	Info
	Warning
	Error
)

// Levels lists the names of the levels in increasing severity.
var Levels = []string{"debug", "info", "warning", "error"}

// ParseLevel returns the level with the given name.
func ParseLevel(name string) (Level, bool) {
	for i, known := range Levels {
		if name == known {
			return Level(i), true
		}
	}
	return Info, false
}

var threshold atomic.Int32 // the lowest Level that is written

func init() { threshold.Store(int32(Info)) }

// writer is the current writer; nil before Setup.
var writer atomic.Pointer[asyncWriter]

// Setup sets the lowest level that is written and the output. A nil output stands for
// standard error. Lines are written in the background.
func Setup(level Level, output io.Writer) {
	threshold.Store(int32(level))
	if output == nil {
		output = os.Stderr
	}
	klog.LogToStderr(false)
	// Without these flags, klog also writes each event to the outputs of all lower
	// severities, and errors to standard error.
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"one_output": "true", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			panic(err) // the flags are constants
		}
	}
	w := &asyncWriter{out: output}
	writer.Store(w)
	klog.SetOutput(w)
}

// Flush waits until all lines are written, at most flushTimeout. Call it before the
// process ends.
func Flush() {
	klog.Flush()
	if w := writer.Load(); w != nil {
		w.flush()
	}
}

// Enabled reports whether events of the level are written.
func Enabled(level Level) bool { return int32(level) >= threshold.Load() }

// InfoEvent writes an event at level info. The pairs are alternating names and values.
func InfoEvent(component, event string, pairs ...any) { write(Info, component, event, pairs) }

// DebugEvent writes an event at level debug.
func DebugEvent(component, event string, pairs ...any) { write(Debug, component, event, pairs) }

// WarningEvent writes an event at level warning: it needs an operator's attention if it
// persists.
func WarningEvent(component, event string, pairs ...any) { write(Warning, component, event, pairs) }

// ErrorEvent writes an event at level error: it needs an operator's attention.
func ErrorEvent(component, event string, err error, pairs ...any) {
	write(Error, component, event, append([]any{"error", err}, pairs...))
}

// callerDepth is the number of stack frames that klog skips, those of write and of the
// exported function, so that it names the source line that logged the event.
const callerDepth = 2

func write(level Level, component, event string, pairs []any) {
	if !Enabled(level) {
		return
	}
	line := format(component, event, pairs)
	switch level {
	case Warning:
		klog.WarningDepth(callerDepth, line)
	case Error:
		klog.ErrorDepth(callerDepth, line)
	default:
		klog.InfoDepth(callerDepth, line)
	}
}

// redactedNames are the names, in lower case, whose values are not written: anybody who
// can read a key or a token in the log could send requests as that workspace.
var redactedNames = map[string]bool{"key": true, "authorization": true, "secret": true, "token": true, "request_token": true, "ticket": true}

const redacted = "(redacted)"

// format returns the line of an event. Values with a space, a quote, an equals sign or a
// control character are quoted.
func format(component, event string, pairs []any) string {
	var b strings.Builder
	b.WriteString("component=")
	b.WriteString(quote(component))
	b.WriteString(" event=")
	b.WriteString(quote(event))
	for i := 0; i < len(pairs); i += 2 {
		name := valueText(pairs[i])
		value := "(missing)"
		if i+1 < len(pairs) {
			value = valueText(pairs[i+1])
		}
		if redactedNames[strings.ToLower(name)] {
			value = redacted
		}
		b.WriteByte(' ')
		b.WriteString(quote(name))
		b.WriteByte('=')
		b.WriteString(quote(value))
	}
	return b.String()
}

// valueText returns a value as text. Headers and other maps are redacted, since they could
// contain a key.
func valueText(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case int:
		return strconv.Itoa(v)
	case uint32:
		return strconv.FormatUint(uint64(v), 10)
	case error, fmt.Stringer:
		return fmt.Sprint(v)
	case map[string][]string, map[string]string, interface{ Values(string) []string }:
		return redacted
	case []byte:
		return fmt.Sprintf("(%d bytes)", len(v))
	}
	return fmt.Sprintf("%+v", value)
}

func quote(s string) string {
	for _, r := range s {
		if r <= ' ' || r == '"' || r == '=' || r == 0x7f || r == '\u2028' || r == '\u2029' {
			return fmt.Sprintf("%q", s)
		}
	}
	if s == "" {
		return `""`
	}
	return s
}
