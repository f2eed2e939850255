package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"peridotchute.example/common/decisionlog"
)

// ServerState names a state of the servers of a service.
type ServerState struct {
	Service string
	State   string // ready, draining, suspected or another state that the code defines
}

// Sources are asked for what they hold when the metrics are read. Those that
// are nil are left out. Ages count from when the store was asked.
type Sources struct {
	Log           func() decisionlog.Counts
	Waiting       func() int                // requests
	InProgress    func() int                // requests
	BudgetLeft    func() map[string]float64 // repeats that this entry may still make, by service
	Servers       func() map[ServerState]int
	ConfigVersion func() int64
	ConfigAge     func() time.Duration
	ServersAge    func() time.Duration
	LeaseHeld     func() bool
	ServerCalls   func() map[string]int64 // orders and reports of model servers, by kind and outcome
}

// sources makes metrics of Sources.
type sources struct{ Sources }

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

var (
	descWritten       = describe("log_lines_written_total", "Lines of the decision log that were written.")
	descLeftOut       = describe("log_lines_left_out_total", "Lines of the decision log that were left out.")
	descWaiting       = describe("requests_waiting", "Requests that wait at the entry.")
	descInProgress    = describe("requests_in_progress", "Requests that have arrived and not ended.")
	descBudget        = describe("retry_budget_left", "Further attempts that the retry budget allows this entry now.", labelService)
	descServers       = describe("servers", "Backend servers by state.", labelService, labelState)
	descConfigVersion = describe("config_version", "Version of the configuration in force.")
	descConfigAge     = describe("config_age_seconds", "Time since the store was last asked for the configuration with success.")
	descServersAge    = describe("servers_age_seconds", "Time since the store was last asked for the backend servers with success.")
	descServerCalls   = describe("server_calls_total", "Orders given to model servers and reports asked of them.", labelOutcome)
	descLeaseHeld     = describe("lease_held", "1 when this process gives orders to the backend servers.")
)

// Describe implements prometheus.Collector.
func (s sources) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		descWritten, descLeftOut, descWaiting, descInProgress, descBudget,
		descServers, descConfigVersion, descConfigAge, descServersAge, descLeaseHeld, descServerCalls,
	} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (s sources) Collect(out chan<- prometheus.Metric) {
	s.collectLog(out)
	gauge(out, descWaiting, s.Waiting)
	gauge(out, descInProgress, s.InProgress)
	gauge(out, descConfigVersion, s.ConfigVersion)
	age(out, descConfigAge, s.ConfigAge)
	age(out, descServersAge, s.ServersAge)
	s.collectByService(out)
	if s.LeaseHeld != nil {
		send(out, descLeaseHeld, prometheus.GaugeValue, one(s.LeaseHeld()))
	}
	if s.ServerCalls != nil {
		for outcome, n := range s.ServerCalls() {
			send(out, descServerCalls, prometheus.CounterValue, float64(n), outcome)
		}
	}
}

func (s sources) collectLog(out chan<- prometheus.Metric) {
	if s.Log == nil {
		return
	}
	lines := s.Log()
	send(out, descWritten, prometheus.CounterValue, float64(lines.Written))
	send(out, descLeftOut, prometheus.CounterValue, float64(lines.LeftOut))
}

func (s sources) collectByService(out chan<- prometheus.Metric) {
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

func gauge[N int | int64](out chan<- prometheus.Metric, d *prometheus.Desc, read func() N) {
	if read != nil {
		send(out, d, prometheus.GaugeValue, float64(read()))
	}
}

func age(out chan<- prometheus.Metric, d *prometheus.Desc, read func() time.Duration) {
	if read != nil {
		send(out, d, prometheus.GaugeValue, read().Seconds())
	}
}

func send(out chan<- prometheus.Metric, d *prometheus.Desc, kind prometheus.ValueType, v float64, labels ...string) {
	out <- prometheus.MustNewConstMetric(d, kind, v, labels...)
}

func one(v bool) float64 {
	if v {
		return 1
	}
	return 0
}
