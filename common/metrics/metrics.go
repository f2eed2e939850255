package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"peridotchute.example/common/decisionlog"
)

const namespace = "peridotchute"

// Names of the labels.
const (
	labelService = "service"
	labelOutcome = "outcome"
	labelReason  = "reason"
	labelKind    = "kind"
	labelNotRun  = "not_run"
	labelState   = "state"
	labelEvent   = "event"
	labelOrigin  = "origin"
	labelAccount = "account"
)

// Outcome labels of requests that were not run.
const (
	outcomeRefused   = "refused"
	outcomeOverQuota = "over_quota"
)

// latencyBuckets are upper bounds in seconds. Objectives are between 0.15 s and
// 5 s, deadlines below 30 s.
var latencyBuckets = []float64{0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.8, 1.5, 2.5, 5, 10, 15, 30}

// Metrics holds the metrics of a process. It is safe for concurrent use.
type Metrics struct {
	registry  *prometheus.Registry
	services  *labelSet
	reasons   *labelSet
	names     *labelSet // of client accounts
	requests  *prometheus.CounterVec
	refused   *prometheus.CounterVec
	accounts  *prometheus.CounterVec
	firstByte *prometheus.HistogramVec
	duration  *prometheus.HistogramVec
	wait      *prometheus.HistogramVec
	pause     *prometheus.HistogramVec
	attempts  *prometheus.CounterVec
	silences  prometheus.Counter
	resumed   prometheus.Counter
	origins   *prometheus.CounterVec
	retries   *prometheus.CounterVec
	withheld  *prometheus.CounterVec
	events    *prometheus.CounterVec
}

// New returns metrics whose counters are zero.
func New() *Metrics {
	m := &Metrics{
		registry:  prometheus.NewRegistry(),
		services:  newLabelSet(maxServices),
		reasons:   newLabelSet(maxReasons),
		names:     newLabelSet(maxAccounts),
		requests:  newCounterVec("requests_total", "Requests that ended, by outcome.", labelService, labelOutcome),
		refused:   newCounterVec("requests_refused_total", "Requests that the entry answered without running them.", labelService, labelReason),
		accounts:  newCounterVec("account_requests_total", "Requests of client accounts that ended, by outcome.", labelAccount, labelOutcome),
		firstByte: newHistogramVec("request_first_byte_seconds", "Time from a request's arrival to the first byte of its answer.", latencyBuckets, labelService),
		duration:  newHistogramVec("request_duration_seconds", "Time from a request's arrival to the end of its answer.", latencyBuckets, labelService),
		wait:      newHistogramVec("request_wait_seconds", "Time that a request waited at the entry.", latencyBuckets, labelService),
		pause:     newHistogramVec("stream_longest_pause_seconds", "Longest time between two events of a stream, as sent to its client.", latencyBuckets, labelService),
		attempts:  newCounterVec("attempts_failed_total", "Attempts that brought no whole answer.", labelKind, labelNotRun),
		silences:  newCounter("attempts_silent_total", "Times that the server of an attempt sent nothing for a while on any connection of this entry."),
		resumed:   newCounter("streams_resumed_by_client_total", "Requests that resume a stream of an earlier request."),
		origins:   newCounterVec("stream_origins_sought_total", "Searches for the software version that began a stream which its client resumes.", labelOrigin),
		retries:   newCounterVec("retries_total", "Further attempts of requests; resumed streams are one kind.", labelKind),
		events:    newCounterVec("events_total", "Events of the log that belong to no request, such as orders by their outcome.", labelEvent),
		withheld:  newCounterVec("retries_withheld_total", "Failed attempts without another one.", labelReason),
	}
	m.registry.MustRegister(
		m.requests, m.refused, m.accounts, m.firstByte, m.duration, m.wait, m.pause, m.attempts, m.silences, m.resumed, m.origins, m.retries, m.withheld,
		m.events, collectors.NewGoCollector(),
	)
	return m
}

// RegisterSources registers metrics that are read from s at each scrape. Call it at most
// once.
func (m *Metrics) RegisterSources(s Sources) { m.registry.MustRegister(sourceCollector{s}) }

// Handler returns a handler that serves all metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Observe updates the counters and histograms for a record of the decision log.
func (m *Metrics) Observe(r decisionlog.Record) {
	switch r := r.(type) {
	case decisionlog.Finished:
		m.observeFinished(r)
	case decisionlog.Refused:
		m.observeRefused(r)
	case decisionlog.AttemptFailed:
		m.attempts.WithLabelValues(string(r.Kind), boolLabel(r.NotRun)).Inc()
	case decisionlog.ServerSilent:
		m.silences.Inc()
	case decisionlog.Retried:
		m.retries.WithLabelValues(retryKind(r)).Inc()
	case decisionlog.RetryWithheld:
		m.withheld.WithLabelValues(string(r.Reason)).Inc()
	case decisionlog.StreamResumed:
		m.resumed.Inc()
	case decisionlog.OriginSought:
		m.origins.WithLabelValues(r.Origin).Inc()
	case decisionlog.Routed, decisionlog.Chosen:
		// Counted when the request ends.
	default:
		m.events.WithLabelValues(r.Event().Name).Inc()
	}
}

func (m *Metrics) observeFinished(r decisionlog.Finished) {
	service := m.services.label(r.Service)
	m.requests.WithLabelValues(service, r.Outcome.String()).Inc()
	m.observeAccount(r.Account, r.Outcome.String())
	m.wait.WithLabelValues(service).Observe(r.Waited.Seconds())
	m.duration.WithLabelValues(service).Observe(r.Total.Seconds())
	if r.FirstByte > 0 {
		m.firstByte.WithLabelValues(service).Observe(r.FirstByte.Seconds())
	}
	if r.LongestPause > 0 {
		m.pause.WithLabelValues(service).Observe(r.LongestPause.Seconds())
	}
}

func (m *Metrics) observeRefused(r decisionlog.Refused) {
	service := m.services.label(r.Service)
	m.requests.WithLabelValues(service, outcomeRefused).Inc()
	m.refused.WithLabelValues(service, m.reasons.label(string(r.Reason))).Inc()
	m.observeAccount(r.Account, refusedOutcome(r.Reason))
	m.wait.WithLabelValues(service).Observe(r.Waited.Seconds())
}

// observeAccount counts a request of a client account, if it has one.
func (m *Metrics) observeAccount(account, outcome string) {
	if account != "" {
		m.accounts.WithLabelValues(m.names.label(account), outcome).Inc()
	}
}

func refusedOutcome(r decisionlog.RefusalReason) string {
	if r == decisionlog.RefusedQuota {
		return outcomeOverQuota
	}
	return outcomeRefused
}

func retryKind(r decisionlog.Retried) string {
	if r.Resumed {
		return "resumed"
	}
	return "repeated"
}

func boolLabel(v bool) string {
	if v {
		return "true"
	}
	return "false"
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newHistogramVec(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
}
