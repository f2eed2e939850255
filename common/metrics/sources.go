package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"peridotchute.example/common/decisionlog"
)

// ServerState is a service and a state of its servers.
type ServerState struct {
	Service string
	State   string // ready, draining, suspected or another state that the code defines
}

// Sources holds callbacks that are called at each scrape. Metrics whose callback
// is nil are omitted. ConfigAge and ServersAge return the time since the last
// successful read of the store.
type Sources struct {
	Log                 func() decisionlog.Counts
	Waiting             func() int                // requests in the queue
	InProgress          func() int                // requests that have arrived and not ended
	BudgetLeft          func() map[string]float64 // retries that this entry may still make, by service
	Servers             func() map[ServerState]int
	ConfigVersion       func() int64
	ConfigAge           func() time.Duration
	ConfigDoubt         func() time.Duration // for how long the call that waits for a configuration may have been lost
	ServersAge          func() time.Duration
	LeaseHeld           func() bool
	QuarantinedParts    func() int              // prompt parts whose requests are refused
	QuarantinedRequests func() int              // requests that are refused whenever they are sent again
	Limited             func() int              // servers that limit the rate of requests
	ServerCalls         func() map[string]int64 // orders to and reports of model servers, by kind and outcome
}

// sourceCollector exports Sources as metrics.
type sourceCollector struct{ Sources }

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

var (
	descWritten             = newDesc("log_lines_written_total", "Lines of the decision log that were written.")
	descLeftOut             = newDesc("log_lines_left_out_total", "Lines of the decision log that were left out.")
	descWaiting             = newDesc("requests_waiting", "Requests that wait at the entry.")
	descInProgress          = newDesc("requests_in_progress", "Requests that have arrived and not ended.")
	descBudget              = newDesc("retry_budget_left", "Further attempts that the retry budget allows this entry now.", labelService)
	descServers             = newDesc("servers", "Backend servers by state.", labelService, labelState)
	descConfigVersion       = newDesc("config_version", "Version of the configuration in force.")
	descConfigAge           = newDesc("config_age_seconds", "Time since the store was last asked for the configuration with success.")
	descConfigDoubt         = newDesc("config_wait_doubted_seconds", "Time for which the call that waits for the next configuration may have been lost; 0 while it is not in doubt.")
	descServersAge          = newDesc("servers_age_seconds", "Time since the store was last asked for the backend servers with success.")
	descServerCalls         = newDesc("server_calls_total", "Orders given to model servers and reports asked of them.", labelOutcome)
	descQuarantinedParts    = newDesc("quarantined_prompt_parts", "Prompt parts whose requests are refused because servers crash on them.")
	descQuarantinedRequests = newDesc("quarantined_requests", "Requests that are refused whenever they are sent again, because servers crash on them.")
	descLimited             = newDesc("limited_servers", "Backend servers that limit the rate of requests that they take.")
	descLeaseHeld           = newDesc("lease_held", "1 when this process gives orders to the backend servers.")
)

// Describe implements prometheus.Collector.
func (s sourceCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		descWritten, descLeftOut, descWaiting, descInProgress, descBudget,
		descServers, descConfigVersion, descConfigAge, descConfigDoubt, descServersAge, descLeaseHeld, descServerCalls,
		descQuarantinedParts, descQuarantinedRequests, descLimited,
	} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (s sourceCollector) Collect(out chan<- prometheus.Metric) {
	s.collectLog(out)
	sendGauge(out, descWaiting, s.Waiting)
	sendGauge(out, descInProgress, s.InProgress)
	sendGauge(out, descQuarantinedParts, s.QuarantinedParts)
	sendGauge(out, descQuarantinedRequests, s.QuarantinedRequests)
	sendGauge(out, descLimited, s.Limited)
	sendGauge(out, descConfigVersion, s.ConfigVersion)
	sendAge(out, descConfigAge, s.ConfigAge)
	sendAge(out, descConfigDoubt, s.ConfigDoubt)
	sendAge(out, descServersAge, s.ServersAge)
	s.collectByService(out)
	if s.LeaseHeld != nil {
		send(out, descLeaseHeld, prometheus.GaugeValue, boolValue(s.LeaseHeld()))
	}
	if s.ServerCalls != nil {
		for outcome, n := range s.ServerCalls() {
			send(out, descServerCalls, prometheus.CounterValue, float64(n), outcome)
		}
	}
}

func (s sourceCollector) collectLog(out chan<- prometheus.Metric) {
	if s.Log == nil {
		return
	}
	lines := s.Log()
	send(out, descWritten, prometheus.CounterValue, float64(lines.Written))
	send(out, descLeftOut, prometheus.CounterValue, float64(lines.LeftOut))
}

func (s sourceCollector) collectByService(out chan<- prometheus.Metric) {
	if s.BudgetLeft != nil {
		for service, left := range s.BudgetLeft() {
			send(out, descBudget, prometheus.GaugeValue, left, service)
		}
	}
	if s.Servers != nil {
		for of, n := range s.Servers() {
			send(out, descServers, prometheus.GaugeValue, float64(n), of.Service, of.State)
		}
	}
}

func sendGauge[N int | int64](out chan<- prometheus.Metric, d *prometheus.Desc, read func() N) {
	if read != nil {
		send(out, d, prometheus.GaugeValue, float64(read()))
	}
}

func sendAge(out chan<- prometheus.Metric, d *prometheus.Desc, read func() time.Duration) {
	if read != nil {
		send(out, d, prometheus.GaugeValue, read().Seconds())
	}
}

func send(out chan<- prometheus.Metric, d *prometheus.Desc, kind prometheus.ValueType, v float64, labels ...string) {
	out <- prometheus.MustNewConstMetric(d, kind, v, labels...)
}

func boolValue(v bool) float64 {
	if v {
		return 1
	}
	return 0
}
