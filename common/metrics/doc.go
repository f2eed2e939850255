// Package metrics provides the Prometheus metrics of a process. Counters and
// histograms are derived from the records of package decisionlog, so that code
// reports a decision only once; gauges are read from callbacks at each scrape.
//
//	m := metrics.New()
//	log := decisionlog.New(decisionlog.Options{Node: name, Out: os.Stdout, Observe: m.Observe})
//	m.RegisterSources(metrics.Sources{Log: log.Counts, Waiting: queue.Len})
//	mux.Handle("GET /metrics", m.Handler())
//
// Label values are the services of the configuration and values defined by the
// code. Requests, models and servers are never label values.
package metrics
