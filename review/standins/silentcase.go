package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { cases["silent"] = playSilent }

const (
	configWait  = 20 * time.Second        // how long the entries have the store wait for a configuration
	silentTime  = 3200 * time.Millisecond // how long the store is silent
	silentEarly = time.Second             // by which the silence begins before the end of the wait
)

// playSilent makes the store silent for a moment while the entries' calls for the next
// configuration run out. A change of the configuration follows.
func playSilent(d *deployment) outcome {
	for _, service := range []string{"till-old", "till-old", "till-new", "till-new"} {
		if _, err := startWorker(d.rec, d.store, service, "v1", ""); err != nil {
			return outcome{err: err}
		}
	}
	d.setConfig(1, nil)
	started := time.Now()
	if err := d.startEntries(); err != nil {
		return outcome{err: err}
	}
	time.Sleep(time.Until(started.Add(configWait - silentEarly)))
	if d.trouble {
		d.rec.say("the store is silent")
		d.store.setSilent(true)
	}
	time.Sleep(silentTime)
	d.store.setSilent(false)
	ended := time.Now()
	time.Sleep(2 * time.Second)
	d.setConfig(2, func(config map[string]any) { route(config, "book")["service"] = "till-new" })
	written := time.Now()
	judgedFrom := ended.Add(stableTime + applyTime) // the configuration was written before
	if t := written.Add(applyTime); t.After(judgedFrom) {
		judgedFrom = t
	}
	const (
		pause = 100 * time.Millisecond
		until = 30 * time.Second
	)
	old, moved, other, turn := 0, 0, 0, 0
	for time.Since(written) < until {
		sent := time.Now()
		turn++
		a := call(d.rec, d.entries[turn%len(d.entries)].callerAddress, http.MethodPost, "/book/x", 2*time.Second)
		switch {
		case sent.Before(judgedFrom):
		case a.stamped && strings.Contains(a.body, "service till-old"):
			old++
		case a.stamped && strings.Contains(a.body, "service till-new"):
			moved++
		default:
			other++
		}
		time.Sleep(pause)
	}
	d.rec.say("of the requests sent later than %v after the acknowledgement of configuration 2: %d run by the old service, %d by the new one, %d otherwise", judgedFrom.Sub(written).Round(time.Millisecond), old, moved, other)
	return outcome{broken: old > 0}
}
