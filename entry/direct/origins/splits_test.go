package origins

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func sharesFor(weights map[string]int) []Share {
	return []Share{{Artifacts: []string{model}, Weights: weights}}
}

// readyInputs returns inputs with which a split among two versions is added.
func readyInputs() splitInputs {
	ready := Progress{Ready: true, Adopted: map[string]int64{service: 3}}
	return splitInputs{
		splits:      []Split{{Number: 3, Shares: sharesFor(map[string]int{"v1": 8})}},
		newestAge:   time.Minute,
		shares:      sharesFor(map[string]int{"v1": 4, "v2": 4}),
		nextNumber:  5,
		service:     service,
		own:         ready,
		members:     []string{"a", "b"},
		progress:    map[string]Progress{"a": ready, "b": ready},
		isConnected: func(string) bool { return true },
	}
}

// splitsAfter returns the splits that a service should have.
func splitsAfter(in splitInputs) []Split {
	splits, _ := nextSplits(in)
	return splits
}

func numbers(splits []Split) (out []int64) {
	for _, s := range splits {
		out = append(out, s.Number)
	}
	return out
}

func TestSplitIsAddedBesideTheEarlierOne(t *testing.T) {
	in := readyInputs()
	assert.DeepEqual(t, numbers(splitsAfter(in)), []int64{3, 5})
	in.splits = nil
	got := splitsAfter(in)
	assert.DeepEqual(t, numbers(got), []int64{0, 5})
	assert.Equal(t, assigned(got, model, "x"), "", "streams that began before the first split fall to no version")
}

func TestSplitIsAddedOnlyIfAllEntriesCanAdoptIt(t *testing.T) {
	ready := readyInputs().own
	for name, change := range map[string]func(*splitInputs){
		"an entry was restarted lately":   func(in *splitInputs) { in.progress["b"] = Progress{Adopted: ready.Adopted} },
		"this entry was restarted lately": func(in *splitInputs) { in.own.Ready = false },
		"an entry has told nothing":       func(in *splitInputs) { delete(in.progress, "b") },
		"an entry is out of reach":        func(in *splitInputs) { in.isConnected = func(entry string) bool { return entry != "b" } },
		"the shares are the same":         func(in *splitInputs) { in.shares = in.splits[0].Shares },
		"no server has a model":           func(in *splitInputs) { in.shares = nil },
		"the last one is not adopted":     func(in *splitInputs) { in.splits = append([]Split{{}}, in.splits...); in.splits[1].Number = 4 },
		"it is new and among the versions": func(in *splitInputs) {
			in.newestAge = time.Second
			in.splits[0].Shares = sharesFor(map[string]int{"v1": 3, "v2": 5})
		},
	} {
		t.Run(name, func(t *testing.T) {
			in := readyInputs()
			change(&in)
			assert.DeepEqual(t, splitsAfter(in), in.splits)
		})
	}
}

// TestEarlierSplitIsDroppedOnceAllEntriesHaveAdopted drops it too early in no case: a stream that
// began under it would be resumed at the version that the later one gives to it.
func TestEarlierSplitIsDroppedOnceAllEntriesHaveAdopted(t *testing.T) {
	adopted := Progress{Ready: true, Adopted: map[string]int64{service: 5}}
	in := readyInputs()
	in.splits = append(in.splits, Split{Number: 5, Shares: in.shares})
	in.own = adopted
	in.progress = map[string]Progress{"a": adopted, "b": adopted}
	assert.DeepEqual(t, numbers(splitsAfter(in)), []int64{5})
	for name, change := range map[string]func(*splitInputs){
		"an entry has not":               func(in *splitInputs) { in.progress["b"] = readyInputs().own },
		"this entry has not":             func(in *splitInputs) { in.own = readyInputs().own },
		"an entry has told nothing":      func(in *splitInputs) { delete(in.progress, "a") },
		"the list of entries is older":   func(in *splitInputs) { in.membersAge = in.newestAge + time.Second },
		"an entry adopted other service": func(in *splitInputs) { in.progress["a"] = Progress{Ready: true, Adopted: map[string]int64{"other": 5}} },
	} {
		t.Run(name, func(t *testing.T) {
			in := in
			in.progress = map[string]Progress{"a": adopted, "b": adopted}
			change(&in)
			assert.DeepEqual(t, numbers(splitsAfter(in)), []int64{3, 5})
		})
	}
}

// TestStoreFromOlderCopyLosesSplit has the store come back without the newest split, or with one
// that has been dropped since.
func TestStoreFromOlderCopyLosesSplit(t *testing.T) {
	now := time.Now()
	stages := map[string]stage{"v1": stageSettled, "v2": stageSettled}
	one, two := Split{Number: 1}, Split{Number: 2}
	for name, row := range map[string]Usage{
		"later revision of another entry": {Stages: stages, Splits: []Split{one}, Revision: 9, Row: "9"},
		"earlier revision":                {Stages: stages, Splits: []Split{one}, Revision: 2, Row: "2"},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUsage()
			u.apply(Usage{Stages: stages, Splits: []Split{two}, Revision: 5, Row: "5"}, true, now)
			u.apply(row, true, now)
			assert.DeepEqual(t, numbers(u.splits), []int64{1, 2})
			assert.Assert(t, !u.current(), "the row has to be written again")
		})
	}
}
