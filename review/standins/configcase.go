package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { cases["config"] = playConfig }

// playConfig has the store come back from a copy of before the newest configuration. The
// operator, which has another change to make by then, writes that one first.
func playConfig(d *deployment) outcome {
	for _, service := range []string{"till-old", "till-old", "till-new", "till-new"} {
		if _, err := startWorker(d.rec, d.store, service, "v1", ""); err != nil {
			return outcome{err: err}
		}
	}
	d.setConfig(1, nil)
	if err := d.startEntries(); err != nil {
		return outcome{err: err}
	}
	time.Sleep(2 * time.Second)
	b := d.store.backup()
	d.setConfig(2, func(config map[string]any) { route(config, "book")["timeout_ms"] = 1900 })
	time.Sleep(4 * time.Second)
	move := func(config map[string]any) {
		route(config, "book")["timeout_ms"] = 1900
		route(config, "book")["service"] = "till-new"
	}
	if d.trouble {
		d.rec.say("the store goes away")
		d.store.goAway()
		time.Sleep(awayTime)
		d.store.comeBack(b, func() { d.setConfig(3, move) })
	} else {
		d.setConfig(3, move)
	}
	written := time.Now()
	const (
		pause = 200 * time.Millisecond
		until = 60 * time.Second
	)
	judgedFrom := stableTime + maxSkewTime + applyTime // later than any bound
	old, moved, other := 0, 0, 0
	for time.Since(written) < until {
		sent := time.Since(written)
		e := d.entries[int(sent/pause)%len(d.entries)]
		a := call(d.rec, e.callerAddress, http.MethodPost, "/book/x", 2*time.Second)
		switch {
		case sent < judgedFrom:
		case a.stamped && strings.Contains(a.body, "service till-old"):
			old++
		case a.stamped && strings.Contains(a.body, "service till-new"):
			moved++
		default:
			other++
		}
		time.Sleep(pause)
	}
	d.rec.say("of the requests sent later than %v after the acknowledgement of configuration 3: %d run by the old service, %d by the new one, %d otherwise", judgedFrom, old, moved, other)
	return outcome{broken: old > 0}
}
