package batch

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Tally counts the requests of one kind by outcome.
type Tally struct {
	Arrived       int
	OnTime        int
	Late          int
	Paused        int     // of Late, those whose first event was on time
	Rejected      int     // finally, without retries left
	Failed        int     // broken, or incomplete at the deadline
	RejectedTwice int     // of Rejected, those rejected more than once
	Value         float64 // achieved
	MaxValue      float64 // if all requests had been served on time
	requests      []sizedRequest
}

// sizedRequest is the size of a request and whether it was served in the end.
type sizedRequest struct {
	size   float64
	served *bool
}

// add adds another tally.
func (t *Tally) add(o *Tally) {
	t.Arrived += o.Arrived
	t.OnTime += o.OnTime
	t.Late += o.Late
	t.Paused += o.Paused
	t.Rejected += o.Rejected
	t.Failed += o.Failed
	t.RejectedTwice += o.RejectedTwice
	t.Value += o.Value
	t.MaxValue += o.MaxValue
	t.requests = append(t.requests, o.requests...)
}

// ServedShare returns the share of requests that were answered, late ones included.
func (t *Tally) ServedShare() float64 { return float64(t.OnTime+t.Late) / max(float64(t.Arrived), 1) }

// ValueShare returns the share of the maximum value that was achieved.
func (t *Tally) ValueShare() float64 { return t.Value / max(t.MaxValue, 1e-9) }

// LargestServedShare returns the share that was answered of the largest tenth of
// the requests.
func (t *Tally) LargestServedShare() float64 {
	largest := slices.Clone(t.requests)
	slices.SortFunc(largest, func(a, b sizedRequest) int { return cmp.Compare(b.size, a.size) })
	largest = largest[:(len(largest)+9)/10]
	served := 0
	for _, l := range largest {
		if *l.served {
			served++
		}
	}
	return float64(served) / max(float64(len(largest)), 1)
}

// Result is the result of a run or of several merged runs.
type Result struct {
	Kinds           map[string]*Tally
	PrefilledTokens int      // by all servers
	Preempted       int      // preemptions at all servers
	names           []string // of the kinds, in the scenario's order
	drawn           int      // requests drawn so far; makes prompt parts unique
}

func newResult(s *Scenario) *Result {
	r := &Result{Kinds: map[string]*Tally{}}
	for i := range s.Kinds {
		r.Kinds[s.Kinds[i].Name] = &Tally{}
		r.names = append(r.names, s.Kinds[i].Name)
	}
	return r
}

// Merge returns the sums of the results of several runs.
func Merge(runs []*Result) *Result {
	all := &Result{Kinds: map[string]*Tally{}, names: runs[0].names}
	for _, r := range runs {
		all.PrefilledTokens += r.PrefilledTokens
		all.Preempted += r.Preempted
		for name, k := range r.Kinds {
			if all.Kinds[name] == nil {
				all.Kinds[name] = &Tally{}
			}
			all.Kinds[name].add(k)
		}
	}
	return all
}

// Value returns the share of the maximum value of all kinds that was achieved.
func (r *Result) Value() float64 {
	var all Tally
	for _, t := range r.Kinds {
		all.Value += t.Value
		all.MaxValue += t.MaxValue
	}
	return all.ValueShare()
}

// String returns a summary with one line per kind.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "value %.3f, prefilled %d tokens, preempted %d\n", r.Value(), r.PrefilledTokens, r.Preempted)
	for _, name := range r.names {
		t := r.Kinds[name]
		fmt.Fprintf(&b, "  %-14s arrived %5d  on time %5d  late %5d (paused %5d)  rejected %4d (twice %4d)  failed %4d  value %.3f\n",
			name, t.Arrived, t.OnTime, t.Late, t.Paused, t.Rejected, t.RejectedTwice, t.Failed, t.ValueShare())
	}
	return b.String()
}
