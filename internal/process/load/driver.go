package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tarragonshore.example/tarragonshore/internal/process/standin"
	"tarragonshore.example/tarragonshore/internal/request/problem"
)

// Outcome is the end of one intended request, after all of its caller's tries.
type Outcome struct {
	Arrival
	Latency time.Duration // since the intended send time
	Status  int           // of the last try; 0 if there was no answer
	Kind    problem.Kind  // of a refusal
	// Executed is the refusal's statement; empty for an answer.
	Executed problem.Executed
	Good     bool // whole, right and within the deadline
	Crossed  bool // the answer belongs to another request
	Tries    int
	// Entitled counts the tries that the workspace's rate admits, and
	// WronglyRefused those of them that were refused for rate.
	Entitled, WronglyRefused int
	// NotExecuted lists the tries that were refused with executed "no".
	NotExecuted []int
}

// Target is what a driver sends its requests to.
type Target struct {
	// Addresses are used in turn.
	Addresses []string
	// Keys hold the key of each workspace of the scenario; empty entries send none.
	Keys []string
	// Zones hold the zone of each address if it is a daemon; empty otherwise.
	// Calls on to a backend server in another zone take the zone delay.
	Zones []string
	// ConnectDelay is what a new connection costs besides what the target makes.
	ConnectDelay time.Duration
}

// Driver sends the arrivals of a scenario.
type Driver struct {
	scenario    *Scenario
	target      Target
	client      *http.Client
	nextAddress atomic.Uint64
	entitled    *entitlement
	runID       string
	// spin is the last part of the wait before a send that is spent spinning.
	spinTime time.Duration
}

// callerConnections is the number of idle connections kept to each address.
const callerConnections = 2048

// NewDriver returns a driver. runID makes the order numbers of runs distinct.
func NewDriver(s *Scenario, target Target, runID string) *Driver {
	return &Driver{
		scenario: s,
		target:   target,
		runID:    runID,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         standin.DelayedDial(target.ConnectDelay),
			MaxIdleConnsPerHost: callerConnections,
			DisableCompression:  true,
		}},
	}
}

// Order returns the number by which backend servers count the runs of a try.
func (d *Driver) Order(number, try int) string { return fmt.Sprintf("%s-%d.%d", d.runID, number, try) }

// Run sends all arrivals at their times and returns their outcomes. onPhase is
// called as each phase begins.
func (d *Driver) Run(ctx context.Context, arrivals []Arrival, onPhase func(index int)) []Outcome {
	outcomes := make([]Outcome, len(arrivals))
	start := time.Now()
	d.entitled = newEntitlement(d.scenario.Workspaces, start)
	var wg sync.WaitGroup
	phase := -1
	for i, arrival := range arrivals {
		if arrival.Phase != phase {
			phase = arrival.Phase
			onPhase(phase)
		}
		if !sleepUntil(ctx, start.Add(arrival.At-d.spinTime)) {
			break
		}
		spinUntil(start.Add(arrival.At))
		wg.Add(1)
		go func() {
			defer wg.Done()
			outcomes[i] = d.sendRequest(ctx, arrival, start.Add(arrival.At))
		}()
	}
	wg.Wait()
	d.client.CloseIdleConnections()
	return outcomes
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// spinUntil returns at the given time, more exactly than a timer does.
func spinUntil(at time.Time) {
	for time.Now().Before(at) {
		runtime.Gosched()
	}
}

// request sends one request with the retries of its phase.
func (d *Driver) sendRequest(ctx context.Context, arrival Arrival, intended time.Time) Outcome {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(d.scenario.Deadline))
	defer cancel()
	outcome := Outcome{Arrival: arrival}
	tries := 1 + d.scenario.Phases[arrival.Phase].Retries
	for outcome.Tries < tries && ctx.Err() == nil {
		outcome.Tries++
		d.sendTry(ctx, &outcome)
		if outcome.Good {
			break
		}
	}
	outcome.Latency = time.Since(intended)
	outcome.Good = outcome.Good && outcome.Latency <= d.scenario.Deadline
	return outcome
}

// try sends the request once and notes the answer in the outcome.
func (d *Driver) sendTry(ctx context.Context, outcome *Outcome) {
	if d.scenario.TryTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.scenario.TryTimeout)
		defer cancel()
	}
	outcome.Status, outcome.Kind, outcome.Executed = 0, "", ""
	if !sleepUntil(ctx, time.Now().Add(d.scenario.CallerDelay)) {
		return
	}
	index := int(d.nextAddress.Add(1) % uint64(len(d.target.Addresses)))
	request, err := d.newRequest(ctx, outcome, index)
	if err != nil {
		return
	}
	entitled := d.entitled.charge(outcome.Workspace, time.Now())
	if entitled {
		outcome.Entitled++
	}
	response, err := d.client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	kind, executed := refusalOf(response, body)
	refused := kind == problem.KindRateExceeded || kind == problem.KindRateUnavailable
	if entitled && refused {
		outcome.WronglyRefused++
	}
	if err != nil || !sleepUntil(ctx, time.Now().Add(d.scenario.CallerDelay+d.zoneDelay(response, index))) {
		return
	}
	outcome.Status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		outcome.Kind, outcome.Executed = kind, executed
		if executed == problem.ExecutedNo {
			outcome.NotExecuted = append(outcome.NotExecuted, outcome.Tries)
		}
		return
	}
	var reply standin.Reply
	if json.Unmarshal(body, &reply) != nil {
		return
	}
	outcome.Crossed = reply.Order != d.Order(outcome.Number, outcome.Tries)
	outcome.Good = !outcome.Crossed
}

// zoneDelay returns the time between the zones of the daemon that was asked and
// the backend server that answered.
func (d *Driver) zoneDelay(response *http.Response, index int) time.Duration {
	if len(d.target.Zones) == 0 {
		return 0
	}
	return standin.ZoneDelay(response, d.target.Zones[index], d.scenario.ZoneDelay)
}

// newRequest builds the request of a try for an address of the target. ctx has
// the deadline of the try.
func (d *Driver) newRequest(ctx context.Context, outcome *Outcome, index int) (*http.Request, error) {
	method, path, _ := strings.Cut(d.scenario.Target, " ")
	address := d.target.Addresses[index]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	if key := d.target.Keys[outcome.Workspace]; key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline) - 2*d.scenario.CallerDelay
	request.Header.Set("Request-Timeout", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	request.Header.Set(standin.HeaderOrder, d.Order(outcome.Number, outcome.Tries))
	return request, nil
}

// refusalOf returns kind and executed of a refusal, or empty values.
func refusalOf(response *http.Response, body []byte) (problem.Kind, problem.Executed) {
	if response.Header.Get("Content-Type") != problem.ContentType {
		return "", ""
	}
	var refusal struct {
		Kind     problem.Kind     `json:"kind"`
		Executed problem.Executed `json:"executed"`
	}
	if json.Unmarshal(body, &refusal) != nil {
		return "", ""
	}
	return refusal.Kind, refusal.Executed
}
