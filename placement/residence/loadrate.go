package residence

import (
	"math"
	"time"
)

// LoadRate keeps the loads from the weight store below a rate in every window.
type LoadRate struct {
	Window time.Duration
	Burst  float64         // how far a window may exceed the rate; 0 means exactly the rate
	begun  []time.Duration // loads that began within the window, in order
}

// Limit returns the loads that may begin in one window.
func (l *LoadRate) Limit(perS float64) int {
	return max(int(math.Floor(perS*l.Window.Seconds()*max(l.Burst, 1))), 1)
}

// Free returns how many loads may begin now.
func (l *LoadRate) Free(perS float64, now time.Duration) int {
	l.dropExpired(now)
	return l.Limit(perS) - len(l.begun)
}

// Begin counts a load that begins now, or may have begun until now.
func (l *LoadRate) Begin(now time.Duration) {
	l.dropExpired(now)
	l.begun = append(l.begun, now)
}

// Assume counts a full window of loads that another process may have begun
// until the given time.
func (l *LoadRate) Assume(perS float64, until time.Duration) {
	for range l.Limit(perS) {
		l.begun = append(l.begun, until)
	}
}

// Ages returns how long ago each load of the window began.
func (l *LoadRate) Ages(now time.Duration) []time.Duration {
	l.dropExpired(now)
	ages := make([]time.Duration, len(l.begun))
	for i, at := range l.begun {
		ages[i] = now - at
	}
	return ages
}

func (l *LoadRate) dropExpired(now time.Duration) {
	keep := 0
	for keep < len(l.begun) && now-l.begun[keep] > l.Window {
		keep++
	}
	l.begun = l.begun[keep:]
}
