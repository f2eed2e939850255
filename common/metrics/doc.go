// Package metrics counts what a process decides, for Prometheus. The counters
// and histograms follow from the records of package decisionlog, so a decision
// is told once; gauges are read from their owners when they are asked for.
//
//	m := metrics.New()
//	log := decisionlog.New(decisionlog.Options{Node: name, Out: os.Stdout, Observe: m.Observe})
//	m.Watch(metrics.Sources{Log: log.Counts, Waiting: queue.Len})
//	mux.Handle("GET /metrics", m.Handler())
//
// Labels are services of the configuration and values that the code defines;
// neither requests nor models nor servers make labels.
package metrics
