package main

import (
	"fmt"
	"time"
)

// Names of the deployment.
const (
	desk     = "wuny96b" // a plain service
	engine   = "huvo11a" // a service with model workers
	model    = "daka510000"
	bookPath = "/puxa403/" // unsafe, plain
	chatPath = "/lohu930/" // a stream of the model workers
)

// maxHeaderBytes is the longest head of a request that the configuration allows.
const maxHeaderBytes = 16384

// deployment is a small deployment: the store, the workers and the entries.
type deployment struct {
	store   *store
	desk    []*worker
	engines []*worker
}

// startDeployment starts the stand-ins of the platform and of the plain workers, and writes the
// settings of the entries. Routes, limits and workers are as on the sheet of the first customer.
func (p *play) startDeployment(entries, memoryMB int) *deployment {
	d := &deployment{store: startStore()}
	d.store.put("op", "config", decode[map[string]any](configFile))
	for i := range 3 {
		d.desk = append(d.desk, startWorker(d.store, p.log, workerSpec{id: fmt.Sprintf("i-desk%d", i+1), service: desk, slots: 6, work: 60 * time.Millisecond, answerBytes: 800}))
	}
	p.entries = newEntries(entries, d.store, p.log, p.folder, memoryMB)
	return d
}

// startEngines starts n model workers, whose streams have the given number of events and take the
// given time.
func (d *deployment) startEngines(log *record, n, events int, work time.Duration) {
	for i := range n {
		d.engines = append(d.engines, startWorker(d.store, log, workerSpec{id: fmt.Sprintf("i-llm%d", i+1), service: engine, slots: 64, work: work, model: model, events: events}))
	}
}

// startVersions starts n model workers, in turn of two software versions.
func (d *deployment) startVersions(log *record, n, events int, work time.Duration) {
	for i := range n {
		version := fmt.Sprintf("v%d", 1+i%2)
		d.engines = append(d.engines, startWorker(d.store, log, workerSpec{id: fmt.Sprintf("i-llm%d", i+1), service: engine, slots: 64, work: work, model: model, events: events, version: version}))
	}
}

// startEntries starts the entries and reports whether all became ready in time.
func (p *play) startEntries() bool {
	for _, e := range p.entries {
		e.start()
	}
	for _, e := range p.entries {
		if !waitFor(15*time.Second, e.isReady) {
			p.log.printf("%s is not ready", e.name)
			return false
		}
	}
	time.Sleep(2 * time.Second)
	return true
}
