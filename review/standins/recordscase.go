package main

import (
	"sync"
	"time"
)

func init() { cases["records"] = playRecords }

// restartGap is the time between two SIGTERM of a rolling restart.
const restartGap = 2 * time.Second

// playRecords restarts all entries in turn while two software versions serve. The streams that the
// last of them cuts at the end of its grace period are taken up again at the others.
func playRecords(d *deployment) outcome {
	if _, err := d.startModelWorkers("v1", "v1", "v2", "v2"); err != nil {
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
		restarts = d.restartInTurn(restartGap)
	}
	time.Sleep(time.Duration(len(d.entries)-1)*restartGap + graceTime)
	fresh, freshClients := d.startStreams(30, 5, 0, 5*time.Second, func(i int) *entry { return d.entries[i%(len(d.entries)-1)] })
	clients.Wait()
	freshClients.Wait()
	restarts.Wait()
	resumed, wentOn, began := 0, 0, 0
	for _, s := range streams {
		if s.resumed > 0 {
			resumed++
		}
		if s.wentOn {
			wentOn++
		}
	}
	for _, s := range fresh {
		if s.last > 0 {
			began++
		}
	}
	d.rec.say("LOST: %d of %d streams that clients took up again go on; %d of %d new streams begin", wentOn, resumed, began, len(fresh))
	broken := resumed >= 12 && 2*wentOn*len(fresh) < began*resumed
	return outcome{broken: broken}
}
