// Package metrics defines the daemon's OpenTelemetry instruments and their
// Prometheus exposition.
package metrics

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"tarragonshore.example/tarragonshore/internal/connection/pipeline"
)

// Metrics holds the instruments. A nil *Metrics records nothing.
type Metrics struct {
	registry *prometheus.Registry
	provider *sdkmetric.MeterProvider
	meter    metric.Meter

	requests        metric.Int64Counter
	requestTime     metric.Float64Histogram
	attempts        metric.Int64Counter
	queueDelay      metric.Float64Histogram
	importanceDelay metric.Float64Histogram
	queueRefusals   metric.Int64Counter
	linkEvents      metric.Int64Counter
	confirmations   metric.Int64Counter
	refusals        metric.Int64Counter
	backendTime     metric.Float64Histogram
	daemonTime      metric.Float64Histogram
	skipped         metric.Int64Counter
	repeatedIDs     metric.Int64Counter
	zoneAttempts    metric.Int64Counter
	zoneBytes       metric.Int64Counter
	returned        metric.Int64Counter
	restartSigns    metric.Int64Counter
	healthQueries   metric.Int64Counter
	throttled       metric.Int64Counter
	refusedTrees    metric.Int64Counter
	pipelined       metric.Int64Counter
	pipelineDepth   metric.Int64Histogram

	mu sync.RWMutex
	// labelOptions caches the options of label sets, since building an option takes
	// longer than recording with it.
	labelOptions map[labelSet]metric.MeasurementOption
}

// labelSet holds the alternating names and values of up to three labels.
type labelSet [6]string

// maxLabelOptions bounds the cache, since the routes and workspaces in labels change.
const maxLabelOptions = 4096

// withLabels returns the option for alternating names and values of labels.
func (m *Metrics) withLabels(pairs ...string) metric.MeasurementOption {
	var set labelSet
	copy(set[:], pairs)
	m.mu.RLock()
	option, ok := m.labelOptions[set]
	m.mu.RUnlock()
	if ok {
		return option
	}
	attributes := make([]attribute.KeyValue, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		attributes = append(attributes, attribute.String(pairs[i], pairs[i+1]))
	}
	option = metric.WithAttributeSet(attribute.NewSet(attributes...))
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.labelOptions) >= maxLabelOptions || m.labelOptions == nil {
		m.labelOptions = make(map[labelSet]metric.MeasurementOption)
	}
	m.labelOptions[set] = option
	return option
}

// durationBounds are the bucket bounds of the histograms in seconds.
var durationBounds = []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10}

// New returns the instruments with a registry of their own.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	m := &Metrics{registry: registry, provider: provider, meter: provider.Meter("tarragonshore")}
	return m, m.createInstruments()
}

func (m *Metrics) createInstruments() error {
	var err error
	if m.requests, err = m.meter.Int64Counter("tarragon_requests",
		metric.WithDescription("Requests of callers, by route, workspace and outcome.")); err != nil {
		return err
	}
	if m.requestTime, err = m.meter.Float64Histogram("tarragon_request_duration", metric.WithUnit("s"),
		metric.WithDescription("Time from receiving a caller's request to its answer."),
		metric.WithExplicitBucketBoundaries(durationBounds...)); err != nil {
		return err
	}
	if m.attempts, err = m.meter.Int64Counter("tarragon_attempts",
		metric.WithDescription("Completed attempts at upstreams, by pool and by decision: deliver, retry, move or refuse.")); err != nil {
		return err
	}
	if m.queueDelay, err = m.meter.Float64Histogram("tarragon_queue_delay", metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of an attempt until it is sent to the backend server."),
		metric.WithExplicitBucketBoundaries(durationBounds...)); err != nil {
		return err
	}
	if m.importanceDelay, err = m.meter.Float64Histogram("tarragon_importance_delay", metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of an attempt until it is sent to the backend server, by importance."),
		metric.WithExplicitBucketBoundaries(durationBounds...)); err != nil {
		return err
	}
	if m.queueRefusals, err = m.meter.Int64Counter("tarragon_queue_refusals",
		metric.WithDescription("Attempts that the queue in front of the backend server refused, by reason.")); err != nil {
		return err
	}
	if m.refusals, err = m.meter.Int64Counter("tarragon_refusals",
		metric.WithDescription("Requests that this daemon itself refused or failed, by kind of problem and by whether they were executed.")); err != nil {
		return err
	}
	if m.backendTime, err = m.meter.Float64Histogram("tarragon_backend_time", metric.WithUnit("s"),
		metric.WithDescription("Service time of attempts at the backend server."),
		metric.WithExplicitBucketBoundaries(durationBounds...)); err != nil {
		return err
	}
	if m.daemonTime, err = m.meter.Float64Histogram("tarragon_entry_time", metric.WithUnit("s"),
		metric.WithDescription("Time of a request in daemons and on peer links, without the time in the queue and at the backend server."),
		metric.WithExplicitBucketBoundaries(durationBounds...)); err != nil {
		return err
	}
	if m.confirmations, err = m.meter.Int64Counter("tarragon_tables_confirmations",
		metric.WithDescription("Attempts of this daemon to have its tables confirmed, by source, store or peer, and by result: confirmed or failed.")); err != nil {
		return err
	}
	if m.skipped, err = m.meter.Int64Counter("tarragon_backend_responses_skipped",
		metric.WithDescription("Responses of the backend server that were not to the request in progress on their connection, by cause.")); err != nil {
		return err
	}
	if m.pipelined, err = m.meter.Int64Counter("tarragon_pipelined_requests",
		metric.WithDescription("Requests that arrived behind another one on their connection, by decision: run-ahead, or why not yet.")); err != nil {
		return err
	}
	if m.pipelineDepth, err = m.meter.Int64Histogram("tarragon_pipeline_depth",
		metric.WithDescription("Requests of a connection that run or wait for their turn, when one more runs ahead."),
		metric.WithExplicitBucketBoundaries(2, 3, 4, 5, 6, 7, 8)); err != nil {
		return err
	}
	if m.repeatedIDs, err = m.meter.Int64Counter("tarragon_backend_repeated_ids",
		metric.WithDescription("Requests whose id had been sent to the backend server within the last 10 s.")); err != nil {
		return err
	}
	if m.zoneAttempts, err = m.meter.Int64Counter("tarragon_zone_attempts",
		metric.WithDescription("Answered attempts of tarragon-agent, by pool and by zone: own, or other for those that left the availability zone.")); err != nil {
		return err
	}
	if m.zoneBytes, err = m.meter.Int64Counter("tarragon_zone_bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes of the requests and responses of these attempts, without the overhead of the peer link, by pool and by zone.")); err != nil {
		return err
	}
	if m.returned, err = m.meter.Int64Counter("tarragon_returned_attempts",
		metric.WithDescription("Attempts returned from the queue of a backend server that had become slower, by pool.")); err != nil {
		return err
	}
	if m.restartSigns, err = m.meter.Int64Counter("tarragon_backend_restart_signs",
		metric.WithDescription("Signs that the backend server may have restarted, if its service limits cold servers, by sign.")); err != nil {
		return err
	}
	if m.healthQueries, err = m.meter.Int64Counter("tarragon_backend_health_queries",
		metric.WithDescription("Queries of the backend server's health path, by result: reported or failed.")); err != nil {
		return err
	}
	if m.throttled, err = m.meter.Int64Counter("tarragon_throttled",
		metric.WithDescription("Callers' requests that the shedding plan admitted and the throttle refused, by the pool that has refused calls.")); err != nil {
		return err
	}
	if m.refusedTrees, err = m.meter.Int64Counter("tarragon_refused_trees",
		metric.WithDescription("Callers' requests, admitted at this daemon, of which a queue finally refused a call for lack of room, by pool.")); err != nil {
		return err
	}
	m.linkEvents, err = m.meter.Int64Counter("tarragon_peer_links",
		metric.WithDescription("Peer links that came up or went down, by event."))
	return err
}

// RegisterGauge registers a gauge whose value is read at each scrape.
func (m *Metrics) RegisterGauge(name, description string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return err
}

// RegisterLabelledGauge registers a gauge with labels, whose values are read at each scrape.
// read passes each value with alternating names and values of its labels.
func (m *Metrics) RegisterLabelledGauge(name, description string, read func(observe func(value float64, pairs ...string))) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			read(func(value float64, pairs ...string) { o.Observe(value, m.withLabels(pairs...)) })
			return nil
		}))
	return err
}

// RecordRequest records the end of a caller's request.
func (m *Metrics) RecordRequest(route, workspace, outcome string, took time.Duration) {
	if m == nil {
		return
	}
	ctx := context.Background()
	m.requests.Add(ctx, 1, m.withLabels("route", route, "workspace", workspace, "outcome", outcome))
	m.requestTime.Record(ctx, took.Seconds(), m.withLabels("route", route))
}

// RecordAttempt records the decision after an attempt: deliver, retry, move or refuse in
// tarragond; in tarragon-agent, the reason why it sent the call again or did not, e.g.
// "attempts-spent".
func (m *Metrics) RecordAttempt(pool, decision string) {
	if m == nil {
		return
	}
	m.attempts.Add(context.Background(), 1, m.withLabels("pool", pool, "decision", decision))
}

// RecordZoneAttempt records an answered attempt, the bytes of its request and its response,
// and whether it stayed in the availability zone.
func (m *Metrics) RecordZoneAttempt(pool string, sameZone bool, bytes int) {
	if m == nil {
		return
	}
	zone := "other"
	if sameZone {
		zone = "own"
	}
	labels := m.withLabels("pool", pool, "zone", zone)
	m.zoneAttempts.Add(context.Background(), 1, labels)
	m.zoneBytes.Add(context.Background(), int64(bytes), labels)
}

// RecordReturned records an attempt that was returned from the queue of a slower server.
func (m *Metrics) RecordReturned(pool string) {
	if m == nil {
		return
	}
	m.returned.Add(context.Background(), 1, m.withLabels("pool", pool))
}

// RecordThrottled records a request that was refused since a pool refuses calls.
func (m *Metrics) RecordThrottled(pool string) {
	if m == nil {
		return
	}
	m.throttled.Add(context.Background(), 1, m.withLabels("pool", pool))
}

// RecordRefusedTree records a request of which a queue of a pool refused a call.
func (m *Metrics) RecordRefusedTree(pool string) {
	if m == nil {
		return
	}
	m.refusedTrees.Add(context.Background(), 1, m.withLabels("pool", pool))
}

// RecordQueueDelay records how long an attempt waited in the queue for the backend
// server.
func (m *Metrics) RecordQueueDelay(pool string, delay time.Duration) {
	if m == nil {
		return
	}
	m.queueDelay.Record(context.Background(), delay.Seconds(), m.withLabels("pool", pool))
}

// RecordImportanceDelay records how long an attempt of an importance waited in the queue
// for the backend server.
func (m *Metrics) RecordImportanceDelay(importance uint8, delay time.Duration) {
	if m == nil {
		return
	}
	m.importanceDelay.Record(context.Background(), delay.Seconds(), m.withLabels("importance", strconv.Itoa(int(importance))))
}

// RecordQueueRefusal records an attempt that the queue for the backend server refused.
func (m *Metrics) RecordQueueRefusal(reason string) {
	if m == nil {
		return
	}
	m.queueRefusals.Add(context.Background(), 1, m.withLabels("reason", reason))
}

// RecordRefusal records a request that this daemon refused or failed. The kind is that
// of the problem; executed is "no" or "unknown".
func (m *Metrics) RecordRefusal(kind, executed string) {
	if m == nil {
		return
	}
	m.refusals.Add(context.Background(), 1, m.withLabels("kind", kind, "executed", executed))
}

// RecordBackendTime records the service time of an attempt at the backend server.
func (m *Metrics) RecordBackendTime(pool string, took time.Duration) {
	if m == nil {
		return
	}
	m.backendTime.Record(context.Background(), took.Seconds(), m.withLabels("pool", pool))
}

// RecordDaemonTime records the time that a request spent in daemons and on peer links,
// without the time in the queue and at the backend server.
func (m *Metrics) RecordDaemonTime(pool string, took time.Duration) {
	if m == nil {
		return
	}
	m.daemonTime.Record(context.Background(), took.Seconds(), m.withLabels("pool", pool))
}

// RecordSkippedResponse records a response of the backend server that was not to the
// request in progress on its connection.
func (m *Metrics) RecordSkippedResponse(cause string) {
	if m == nil {
		return
	}
	m.skipped.Add(context.Background(), 1, m.withLabels("cause", cause))
}

// RecordRepeatedID records a request whose id had been sent to the backend server before.
func (m *Metrics) RecordRepeatedID() {
	if m == nil {
		return
	}
	m.repeatedIDs.Add(context.Background(), 1)
}

// RecordPipelined records a decision whether a pipelined request runs ahead. depth is the
// number of requests of its connection that run or wait for their turn.
func (m *Metrics) RecordPipelined(decision string, depth int) {
	if m == nil {
		return
	}
	m.pipelined.Add(context.Background(), 1, m.withLabels("decision", decision))
	if decision == string(pipeline.RunAhead) {
		m.pipelineDepth.Record(context.Background(), int64(depth))
	}
}

// RecordConfirmation records a call to the store, or a question to a peer, that was to
// confirm the tables.
func (m *Metrics) RecordConfirmation(source string, confirmed bool) {
	if m == nil {
		return
	}
	result := "confirmed"
	if !confirmed {
		result = "failed"
	}
	m.confirmations.Add(context.Background(), 1, m.withLabels("source", source, "result", result))
}

// RecordRestartSign records a sign that the backend server may have restarted.
func (m *Metrics) RecordRestartSign(sign string) {
	if m == nil {
		return
	}
	m.restartSigns.Add(context.Background(), 1, m.withLabels("sign", sign))
}

// RecordHealthQuery records a query of the backend server's health path, and whether the
// server reported how long it stays cold.
func (m *Metrics) RecordHealthQuery(reported bool) {
	if m == nil {
		return
	}
	result := "reported"
	if !reported {
		result = "failed"
	}
	m.healthQueries.Add(context.Background(), 1, m.withLabels("result", result))
}

// RecordLinkEvent records that a peer link came up or went down.
func (m *Metrics) RecordLinkEvent(event string) {
	if m == nil {
		return
	}
	m.linkEvents.Add(context.Background(), 1, m.withLabels("event", event))
}

// Handler serves the Prometheus exposition.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Shutdown flushes the instruments.
func (m *Metrics) Shutdown(ctx context.Context) error { return m.provider.Shutdown(ctx) }
