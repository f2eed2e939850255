package loadplan

import (
	"math"
	"slices"
	"time"
)

// LoadRate limits the loads from the weight store to a rate in every window.
type LoadRate struct {
	Window time.Duration
	Burst  float64         // factor by which a window may exceed the rate; 0 means 1
	starts []time.Duration // start times of the loads in the window, in order
}

// Limit returns the maximum number of loads that may start in one window.
func (l *LoadRate) Limit(perS float64) int {
	return max(int(math.Floor(perS*l.Window.Seconds()*max(l.Burst, 1))), 1)
}

// Free returns how many loads may start now.
func (l *LoadRate) Free(perS float64, now time.Duration) int {
	l.dropExpired(now)
	return l.Limit(perS) - len(l.starts)
}

// Begin counts a load that starts now or may have started at any earlier time.
func (l *LoadRate) Begin(now time.Duration) {
	l.dropExpired(now)
	l.starts = append(l.starts, now)
}

// Answered records that a load counted at the given time may have started as late as now: its
// order has only now been answered. After a restart of all entries orders took 100 ms, those of
// the next window none.
func (l *LoadRate) Answered(begun, now time.Duration) {
	i, found := slices.BinarySearch(l.starts, begun)
	if !found || now <= begun {
		return
	}
	l.starts = slices.Delete(l.starts, i, i+1)
	at, _ := slices.BinarySearch(l.starts, now)
	l.starts = slices.Insert(l.starts, at, now)
}

// Assume counts a full window of loads that another process may have started up
// to the given time.
func (l *LoadRate) Assume(perS float64, until time.Duration) {
	for range l.Limit(perS) {
		l.starts = append(l.starts, until)
	}
}

// Ages returns the age of each load in the window.
func (l *LoadRate) Ages(now time.Duration) []time.Duration {
	l.dropExpired(now)
	ages := make([]time.Duration, len(l.starts))
	for i, at := range l.starts {
		ages[i] = now - at
	}
	return ages
}

func (l *LoadRate) dropExpired(now time.Duration) {
	keep := 0
	for keep < len(l.starts) && now-l.starts[keep] > l.Window {
		keep++
	}
	l.starts = l.starts[keep:]
}
