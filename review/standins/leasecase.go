package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["lease"] = playLease }

const (
	rollGap    = time.Second     // between two SIGTERM of the rolling restart
	copyAge    = 5 * time.Second // age of the copy when the store comes back
	copyPeriod = 100 * time.Millisecond
)

// playLease restarts all entries in turn, first the one that gives the orders. In the drill that
// follows, the store comes back from a copy of before the first hand-over.
func playLease(d *deployment) outcome {
	workers, err := d.startModelWorkers("v1", "v1")
	if err != nil {
		return outcome{err: err}
	}
	d.setConfig(1, nil)
	if err := d.startEntries(); err != nil {
		return outcome{err: err}
	}
	stopTraffic := d.adapterTraffic()
	defer stopTraffic()
	copies := d.keepCopies()
	if !waitFor(20*time.Second, func() bool { return newestOrder(workers).holder != "" }) {
		return outcome{err: errors.New("no entry gives orders")}
	}
	time.Sleep(6 * time.Second)
	first := newestOrder(workers)
	d.rec.say("%s gives the orders, with fencing token %d; all entries are restarted in turn", first.holder, first.token)
	slices.SortStableFunc(d.entries, func(a, b *entry) int { return rank(a, first.holder) - rank(b, first.holder) })
	restarts := d.restartInTurn(rollGap)
	if !waitFor(20*time.Second, func() bool { return newestOrder(workers).token > first.token }) {
		return outcome{err: errors.New("no entry gives orders after the restarts")}
	}
	newest := newestOrder(workers)
	d.rec.say("%s gives the orders, with fencing token %d", newest.holder, newest.token)
	time.Sleep(200 * time.Millisecond)
	if d.trouble {
		d.rec.say("the store goes away")
		d.store.goAway()
		time.Sleep(awayTime)
		d.store.comeBack(copies(copyAge), func() { d.setConfig(1, nil) })
	}
	time.Sleep(20 * time.Second)
	restarts.Wait()
	return outcome{broken: d.judgeOrders(workers)}
}

// rank orders the entry of the given name before the others.
func rank(e *entry, first string) int {
	if e.name == first {
		return 0
	}
	return 1
}

// adapterTraffic sends short streaming requests for many adapters, so that adapters are loaded
// and unloaded all the time, until the returned function is called.
func (d *deployment) adapterTraffic() (stop func()) {
	const (
		interval = 120 * time.Millisecond
		adapters = 24
	)
	var stopped atomic.Bool
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 0; !stopped.Load(); n++ {
			s := &stream{
				rec: d.rec, rotation: d.rotation, model: fmt.Sprintf("m1/a%d", n%adapters+1), events: 2,
				deadline: time.Now().Add(5 * time.Second), retries: 1, pause: retryPause,
			}
			clients.Go(s.run)
			time.Sleep(interval)
		}
	})
	return func() {
		stopped.Store(true)
		clients.Wait()
	}
}

// keepCopies copies the store regularly. The returned function returns the newest copy that has
// at least the given age.
func (d *deployment) keepCopies() func(age time.Duration) backup {
	var mu sync.Mutex
	var copies []backup
	go func() {
		for d.ctx.Err() == nil {
			if !d.store.isAway() {
				mu.Lock()
				copies = append(copies, d.store.backup())
				mu.Unlock()
			}
			time.Sleep(copyPeriod)
		}
	}()
	return func(age time.Duration) backup {
		mu.Lock()
		defer mu.Unlock()
		found := copies[0]
		for _, c := range copies {
			if time.Since(c.taken) >= age {
				found = c
			}
		}
		return found
	}
}

// newestOrder returns the newest order, without a holder if there was none.
func newestOrder(workers []*worker) order {
	var newest order
	for _, w := range workers {
		w.mu.Lock()
		if n := len(w.orders); n > 0 && w.orders[n-1].at.After(newest.at) {
			newest = w.orders[n-1]
		}
		w.mu.Unlock()
	}
	return newest
}

// judgeOrders reports whether some worker got orders from two holders with one fencing token, or
// one with a lower token after a higher one. It also records holders that took turns within lease_ms.
func (d *deployment) judgeOrders(workers []*worker) (broken bool) {
	for _, w := range workers {
		w.mu.Lock()
		orders := w.orders
		w.mu.Unlock()
		holderOf := map[int64]string{}
		var last order
		reported := map[string]bool{}
		for _, o := range orders {
			h, known := holderOf[o.token]
			finding := ""
			switch {
			case known && h != o.holder:
				finding = fmt.Sprintf("worker %s: orders of %s and of %s with fencing token %d", w.id, h, o.holder, o.token)
			case o.token < last.token:
				finding = fmt.Sprintf("worker %s: an order of %s with fencing token %d after %d of %s", w.id, o.holder, o.token, last.token, last.holder)
			case last.holder != "" && last.holder != o.holder && o.at.Sub(last.at) < leaseTime:
				finding = fmt.Sprintf("worker %s: orders of %s and of %s within %d ms", w.id, last.holder, o.holder, o.at.Sub(last.at).Milliseconds())
			}
			if finding != "" && !reported[finding] {
				reported[finding] = true
				d.rec.say("ONE: %s", finding)
				broken = true
			}
			if !known {
				holderOf[o.token] = o.holder
			}
			last = o
		}
		d.rec.say("worker %s got %d orders, by fencing token: %v", w.id, len(orders), holderOf)
	}
	return broken
}
