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

// Outcome is the result of one scheduled request, after all tries of its caller.
type Outcome struct {
	Arrival
	Latency time.Duration // since the scheduled send time
	Status  int           // of the last try; 0 without a response
	Kind    problem.Kind  // of the refusal by the last try; else empty
	// Executed is what the refusal states about whether the request ran; else empty.
	Executed   problem.Executed
	Good       bool // complete and correct response within the deadline
	Mismatched bool // the response belongs to another request
	Tries      int
	// Entitled counts the tries within the workspace's rate and burst, and
	// WronglyRefused those of them that were refused by rate limiting.
	Entitled, WronglyRefused int
	// NotExecuted lists the numbers of the tries refused with executed "no".
	NotExecuted []int
}

// Target describes where a driver sends its requests.
type Target struct {
	// Addresses are used in rotation.
	Addresses []string
	// Keys holds the key of each workspace of the scenario. No key is sent for an
	// empty entry.
	Keys []string
	// Zones holds the availability zone of each address if the addresses are of
	// daemons; else it is empty. A response from a backend server in another zone
	// than the daemon's is delayed by a round trip of the scenario's ZoneDelay.
	Zones []string
	// ConnectDelay is the latency that the driver adds to each new connection. It is 0
	// if the target adds the latency itself, as the stand-in for a backend server does.
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
	// spinTime is the last part of the wait for a scheduled send, which is spent in a
	// busy loop, since timers fire late.
	spinTime time.Duration
}

// maxIdleConnsPerAddress is the number of idle connections kept to each address.
const maxIdleConnsPerAddress = 2048

// NewDriver returns a driver. runID is the prefix of its order numbers and makes
// them distinct from those of other drivers.
func NewDriver(s *Scenario, target Target, runID string) *Driver {
	return &Driver{
		scenario: s,
		target:   target,
		runID:    runID,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         standin.DelayedDial(target.ConnectDelay),
			MaxIdleConnsPerHost: maxIdleConnsPerAddress,
			DisableCompression:  true,
		}},
	}
}

// Order returns the order number of a try, by which backend servers count its runs.
func (d *Driver) Order(number, try int) string { return fmt.Sprintf("%s-%d.%d", d.runID, number, try) }

// Run sends all arrivals at their scheduled times and returns their outcomes. It
// calls onPhase with the phase's index when a phase begins.
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

// sleepUntil waits until the given time. It returns false if ctx ends first.
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

// spinUntil waits until the given time in a busy loop, which is more precise than
// a timer.
func spinUntil(at time.Time) {
	for time.Now().Before(at) {
		runtime.Gosched()
	}
}

// sendRequest sends one request, with as many retries as its phase allows.
func (d *Driver) sendRequest(ctx context.Context, arrival Arrival, scheduled time.Time) Outcome {
	ctx, cancel := context.WithDeadline(ctx, scheduled.Add(d.scenario.Deadline))
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
	outcome.Latency = time.Since(scheduled)
	outcome.Good = outcome.Good && outcome.Latency <= d.scenario.Deadline
	return outcome
}

// sendTry sends the request once and records the result in outcome.
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
	addressIndex := int(d.nextAddress.Add(1) % uint64(len(d.target.Addresses)))
	request, err := d.newRequest(ctx, outcome, addressIndex)
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
	rateLimited := kind == problem.KindRateExceeded || kind == problem.KindRateUnavailable
	if entitled && rateLimited {
		outcome.WronglyRefused++
	}
	if err != nil || !sleepUntil(ctx, time.Now().Add(d.scenario.CallerDelay+d.zoneDelay(response, addressIndex))) {
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
	outcome.Mismatched = reply.Order != d.Order(outcome.Number, outcome.Tries)
	outcome.Good = !outcome.Mismatched
}

// zoneDelay returns the round-trip latency between the availability zones of the
// daemon at Addresses[index] and of the backend server that sent the response.
func (d *Driver) zoneDelay(response *http.Response, index int) time.Duration {
	if len(d.target.Zones) == 0 {
		return 0
	}
	return standin.ZoneDelay(response, d.target.Zones[index], d.scenario.ZoneDelay)
}

// newRequest returns the HTTP request of a try to Addresses[index]. The deadline of
// ctx is sent as the request's time-out.
func (d *Driver) newRequest(ctx context.Context, outcome *Outcome, index int) (*http.Request, error) {
	method, path, _ := strings.Cut(d.scenario.RequestLine, " ")
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

// refusalOf returns kind and executed of the problem document in a response, or empty
// values if the response holds no problem document.
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
