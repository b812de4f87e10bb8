package operator

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const (
	// stateBefore and stateAfter delimit the state changes that are shown: from
	// stateBefore before the first event of the request to stateAfter after the last.
	stateBefore = 5 * time.Second
	stateAfter  = 500 * time.Millisecond
	// maxLogLine is the longest line of a log, in bytes.
	maxLogLine = 1 << 20
)

// logHeader matches an event of package logging as klog writes it: severity, month and
// day, time, process ID, source position and message. A log collector may have put a
// prefix before it.
var logHeader = regexp.MustCompile(`^(.*?)[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s+(\d+) \S+\] (component=.*)$`)

// logEvent is one event of a log.
type logEvent struct {
	File    string    `json:"file"`
	Process string    `json:"process"`
	Time    time.Time `json:"time"` // without a year
	Event   string    `json:"event"`
}

// explanation holds the log events that explain the outcome of a request.
type explanation struct {
	// Request holds the events of the request, in order of time.
	Request []logEvent `json:"request"`
	// State holds the events of the same processes that belong to no request,
	// around the time of the request and in order of time.
	State []logEvent `json:"state"`
}

func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID FILE...",
		Short: "Show what the logs of daemons say about one request",
		Long: "explain prints the events of a request, and of the calls that its runs made, from the logs of one or more\n" +
			"daemons, in order of time, and the state changes of these daemons around them: tables, members, backend\n" +
			"servers, peer links, shedding plan and store.",
		Example: "  tarragonctl explain 513b01453d06847d host-*.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			var events []logEvent
			for _, path := range args[1:] {
				more, err := readLog(path)
				if err != nil {
					return usageError("cannot read the log "+path, err, "give paths of readable files")
				}
				events = append(events, more...)
			}
			found := explain(args[0], events)
			if len(found.Request) == 0 {
				return usageError("the logs contain no event of request "+args[0], nil, "give the logs of all daemons; a daemon drops log lines above its rate limit, see lines_dropped")
			}
			return a.print(found.text(), found)
		},
	}
}

// readLog returns the events of a file.
func readLog(path string) ([]logEvent, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the file is only read
	return scanLog(path, file)
}

func scanLog(path string, r io.Reader) ([]logEvent, error) {
	var events []logEvent
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		fields := logHeader.FindStringSubmatch(scanner.Text())
		if fields == nil {
			continue
		}
		at, err := time.Parse("0102 15:04:05.000000", fields[2])
		if err != nil {
			continue // not a line of klog
		}
		events = append(events, logEvent{File: path, Process: fields[3], Time: at, Event: fields[4]})
	}
	return events, scanner.Err()
}

// explain selects the events of a request and the state changes around its time.
func explain(id string, events []logEvent) explanation {
	var found explanation
	processes := map[string]bool{}
	for _, e := range events {
		if concernsRequest(e.Event, id) {
			found.Request = append(found.Request, e)
			processes[e.File+e.Process] = true
		}
	}
	byTime := func(a, b logEvent) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) }
	slices.SortStableFunc(found.Request, byTime)
	if len(found.Request) == 0 {
		return found
	}
	from := found.Request[0].Time.Add(-stateBefore)
	to := found.Request[len(found.Request)-1].Time.Add(stateAfter)
	for _, e := range events {
		inTime := !e.Time.Before(from) && !e.Time.After(to)
		if inTime && processes[e.File+e.Process] && !strings.Contains(e.Event, " request=") {
			found.State = append(found.State, e)
		}
	}
	slices.SortStableFunc(found.State, byTime)
	return found
}

// concernsRequest reports whether an event concerns a request or a call made while
// it ran. Daemons that derive the ID of such a call from the ID of the request
// append a dot and a suffix.
func concernsRequest(event, id string) bool {
	_, rest, found := strings.Cut(event+" ", " request="+id)
	if found && (rest[0] == ' ' || rest[0] == '.') {
		return true
	}
	return strings.Contains(event, fmt.Sprintf(" request=%q", id))
}

// text formats the explanation as text.
func (e explanation) text() string {
	var b strings.Builder
	write := func(title string, events []logEvent) {
		if len(events) == 0 {
			return
		}
		fmt.Fprintln(&b, title)
		for _, event := range events {
			fmt.Fprintf(&b, "  %s %s/%s %s\n", event.Time.Format("15:04:05.000000"), event.File, event.Process, event.Event)
		}
	}
	write("request:", e.Request)
	write("state of these daemons around it:", e.State)
	return b.String()
}
