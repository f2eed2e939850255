package batch

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Tally counts what became of the requests of one kind.
type Tally struct {
	Came    int
	OnTime  int
	Late    int
	Refused int // and not served when they came back
	Failed  int // broken or not done at the deadline
	Twice   int // of the refused, refused again
	Worth   float64
	Owed    float64
	sizes   []sized
}

type sized struct {
	size   float64
	served *bool
}

// add counts the requests of another tally too.
func (t *Tally) add(o *Tally) {
	t.Came += o.Came
	t.OnTime += o.OnTime
	t.Late += o.Late
	t.Refused += o.Refused
	t.Failed += o.Failed
	t.Twice += o.Twice
	t.Worth += o.Worth
	t.Owed += o.Owed
	t.sizes = append(t.sizes, o.sizes...)
}

// Served returns the share that was answered.
func (t *Tally) Served() float64 { return float64(t.OnTime+t.Late) / max(float64(t.Came), 1) }

// Share returns the share of the worth that was earned.
func (t *Tally) Share() float64 { return t.Worth / max(t.Owed, 1e-9) }

// LargestServed returns the share that was answered of the largest tenth.
func (t *Tally) LargestServed() float64 {
	largest := slices.Clone(t.sizes)
	slices.SortFunc(largest, func(a, b sized) int { return cmp.Compare(b.size, a.size) })
	largest = largest[:(len(largest)+9)/10]
	served := 0
	for _, l := range largest {
		if *l.served {
			served++
		}
	}
	return float64(served) / max(float64(len(largest)), 1)
}

// Result is the outcome of a run.
type Result struct {
	Kinds     map[string]*Tally
	Read      int // prompt tokens prefilled by all servers
	Preempted int
	names     []string
	drawn     int
}

func newResult(s *Scenario) *Result {
	r := &Result{Kinds: map[string]*Tally{}}
	for i := range s.Kinds {
		r.Kinds[s.Kinds[i].Name] = &Tally{}
		r.names = append(r.names, s.Kinds[i].Name)
	}
	return r
}

// Pool takes several runs as one.
func Pool(runs []*Result) *Result {
	all := &Result{Kinds: map[string]*Tally{}, names: runs[0].names}
	for _, r := range runs {
		all.Read += r.Read
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

// Worth returns the share of all worth that was earned.
func (r *Result) Worth() float64 {
	var all Tally
	for _, t := range r.Kinds {
		all.Worth += t.Worth
		all.Owed += t.Owed
	}
	return all.Share()
}

// String lists the kinds, a line each.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "worth %.3f, read %d tokens, preempted %d\n", r.Worth(), r.Read, r.Preempted)
	for _, name := range r.names {
		t := r.Kinds[name]
		fmt.Fprintf(&b, "  %-14s came %5d  on time %5d  late %5d  refused %4d (twice %4d)  failed %4d  worth %.3f\n",
			name, t.Came, t.OnTime, t.Late, t.Refused, t.Twice, t.Failed, t.Share())
	}
	return b.String()
}
