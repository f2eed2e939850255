package main

import (
	"errors"
	"sync"
	"time"
)

func init() { cases["versions"] = playVersions }

// serveOn is how long a worker serves after its entry is removed.
const serveOn = drainTime + 5*time.Second

// playVersions restarts all entries in turn while the last worker of the older of two software
// versions leaves. The streams that the last entry cuts at the end of its grace period are taken
// up again at the others.
func playVersions(d *deployment) outcome {
	old, err := d.startModelWorkers("v1")
	if err != nil {
		return outcome{err: err}
	}
	if _, err := d.startModelWorkers("v2", "v2", "v2"); err != nil {
		return outcome{err: err}
	}
	d.setConfig(1, nil)
	if err := d.startEntries(); err != nil {
		return outcome{err: err}
	}
	time.Sleep(3 * time.Second)
	last := d.entries[len(d.entries)-1]
	streams, clients := d.startStreams(30, 140, 4, 15*time.Second, func(int) *entry { return last })
	time.Sleep(500 * time.Millisecond)
	restarts := &sync.WaitGroup{}
	if d.trouble {
		restarts = d.restartInTurn(time.Second)
	}
	time.Sleep(2 * time.Second)
	old[0].leave(serveOn)
	clients.Wait()
	restarts.Wait()
	mixed, onOld := 0, 0
	for _, s := range streams {
		if len(s.versions) > 0 && s.versions[0] == "v1" {
			onOld++
		}
		if len(s.versions) > 1 {
			mixed++
		}
	}
	if onOld < 3 {
		return outcome{err: errors.New("too few streams began at the older version")}
	}
	d.rec.say("ORDER: of %d streams, %d began at version v1; %d hold events of two versions", len(streams), onOld, mixed)
	return outcome{broken: mixed > 2}
}
