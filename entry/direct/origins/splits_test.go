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
	settled := map[string]stage{"v1": stageSettled, "v2": stageSettled}
	now := time.Now()
	return splitInputs{
		now:         now,
		service:     service,
		before:      settled,
		stages:      settled,
		servers:     map[string]int{"v1": 4, "v2": 4},
		splits:      []Split{{Number: 3, Shares: sharesFor(map[string]int{"v1": 8})}},
		newestAge:   time.Minute,
		shares:      sharesFor(map[string]int{"v1": 4, "v2": 4}),
		nextNumber:  5,
		own:         progressOf(3, true),
		members:     []string{"a", "b"},
		progress:    map[string]*entryProgress{"a": told(now, progressOf(3, true)), "b": told(now, progressOf(3, true))},
		isConnected: func(string) bool { return true },
	}
}

func progressOf(number int64, ready bool) Progress {
	return Progress{Ready: ready, Adopted: map[string]int64{service: number}}
}

// told returns what is known of an entry that has told its progress, in order.
func told(at time.Time, progress ...Progress) *entryProgress {
	e := &entryProgress{adopted: map[string]adoption{}}
	for _, p := range progress {
		e.tell(p, at)
	}
	return e
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
	assert.DeepEqual(t, numbers(splitsAfter(readyInputs())), []int64{3, 5})
}

// TestSecondVersionHasNoSplit has a second version join, or the first ones appear, while no entry is
// ready. Without a split no stream could be resumed that has no record.
func TestSecondVersionHasNoSplit(t *testing.T) {
	one, announced := map[string]stage{"v1": stageSettled}, map[string]stage{"v1": stageSettled, "v2": stageAnnounced}
	both := map[string]stage{"v1": stageSettled, "v2": stageSettled}
	for name, c := range map[string]struct {
		before, after map[string]stage
		servers       map[string]int
		want          string
	}{
		"a second version joins":              {one, announced, map[string]int{"v1": 1, "v2": 9}, "v1"},
		"both versions are new":               {nil, both, map[string]int{"v1": 3, "v2": 4}, "v2"},
		"both are new, with as many servers":  {nil, both, map[string]int{"v1": 4, "v2": 4}, "v1"},
		"the only version leaves as it joins": {one, map[string]stage{"v1": stageLeft, "v2": stageAnnounced}, map[string]int{"v2": 4}, ""},
		"the only version left before":        {map[string]stage{"v1": stageLeft}, announced, map[string]int{"v1": 1, "v2": 4}, ""},
		"the row could not be read":           {nil, map[string]stage{"v1": stageAnnounced, "v2": stageAnnounced}, map[string]int{"v1": 4, "v2": 4}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			in := readyInputs()
			in.splits, in.shares, in.progress, in.own = nil, nil, nil, Progress{}
			in.before, in.stages, in.servers = c.before, c.after, c.servers
			got := splitsAfter(in)
			assert.Equal(t, len(got), 1)
			assert.Equal(t, got[0].Number, int64(5))
			assert.Equal(t, assigned(got, model, "x"), c.want)
			assert.Equal(t, assigned(got, "", "x"), "", "a stream that may outlive its record")
		})
	}
}

func TestSplitIsAddedOnlyIfAllEntriesCanAdoptIt(t *testing.T) {
	for name, change := range map[string]func(*splitInputs){
		"an entry was restarted lately":   func(in *splitInputs) { in.progress["b"] = told(in.now, progressOf(3, false)) },
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
		"it gives all streams to the only settled version": func(in *splitInputs) {
			in.splits[0] = Split{Number: 3, Only: "v1"}
			in.shares = sharesFor(map[string]int{"v1": 8})
		},
	} {
		t.Run(name, func(t *testing.T) {
			in := readyInputs()
			change(&in)
			assert.DeepEqual(t, splitsAfter(in), in.splits)
		})
	}
}

// TestSplitIsNeverAdded has an entry never be ready, which must not hold up for good what serves
// streams badly.
func TestSplitIsNeverAdded(t *testing.T) {
	for name, change := range map[string]func(*splitInputs){
		"it has waited for long":          func(in *splitInputs) { in.waited = maxReadinessWait },
		"the last one covers nothing":     func(in *splitInputs) { in.splits[0].Shares = nil },
		"the last one's version has left": func(in *splitInputs) { in.stages = map[string]stage{"v1": stageLeft, "v2": stageSettled} },
		"all are ready":                   func(in *splitInputs) { in.progress["b"] = in.progress["a"] },
		"all are ready, among the same servers": func(in *splitInputs) {
			in.progress["b"] = in.progress["a"]
			in.splits[0].Shares = sharesFor(map[string]int{"v1": 2, "v2": 6})
		},
	} {
		t.Run(name, func(t *testing.T) {
			in := readyInputs()
			in.progress["b"] = told(in.now, progressOf(3, false))
			change(&in)
			assert.DeepEqual(t, numbers(splitsAfter(in)), []int64{3, 5})
		})
	}
}

// TestRestartedEntryHoldsUpSplitForGood restarts an entry again and again. What its first process
// began under the earlier split can be resumed for resumeTime after its end; later processes follow
// the later split.
func TestRestartedEntryHoldsUpSplitForGood(t *testing.T) {
	now := time.Now()
	first := told(now, progressOf(3, true), progressOf(5, false), Progress{}, progressOf(5, false))
	assert.Assert(t, !first.adopted[service].complete(5, now.Add(resumeTime-time.Second)))
	assert.Assert(t, first.adopted[service].complete(5, now.Add(resumeTime)))
	before := told(now, progressOf(5, true), progressOf(5, false))
	assert.Assert(t, before.adopted[service].complete(5, now), "it had adopted the split before it was restarted")
	behind := told(now, progressOf(5, true), progressOf(3, false), progressOf(5, false))
	assert.Assert(t, !behind.adopted[service].complete(5, now.Add(resumeTime-time.Second)), "it began streams under the earlier split")
	assert.Assert(t, !told(now, progressOf(3, true)).adopted[service].complete(5, now.Add(time.Hour)))
}

// TestEarlierSplitIsDroppedOnceAllEntriesHaveAdopted drops it too early in no case: a stream that
// began under it would be resumed at the version that the later one gives to it.
func TestEarlierSplitIsDroppedOnceAllEntriesHaveAdopted(t *testing.T) {
	in := readyInputs()
	in.splits = append(in.splits, Split{Number: 5, Shares: in.shares})
	in.own = progressOf(5, true)
	adopted := told(in.now, progressOf(5, true))
	in.progress = map[string]*entryProgress{"a": adopted, "b": adopted}
	assert.DeepEqual(t, numbers(splitsAfter(in)), []int64{5})
	for name, change := range map[string]func(*splitInputs){
		"an entry has not":                func(in *splitInputs) { in.progress["b"] = told(in.now, progressOf(3, true)) },
		"this entry has not":              func(in *splitInputs) { in.own = progressOf(3, true) },
		"an entry has told nothing":       func(in *splitInputs) { delete(in.progress, "a") },
		"an entry was restarted lately":   func(in *splitInputs) { in.progress["a"] = told(in.now, progressOf(5, false)) },
		"this entry was restarted lately": func(in *splitInputs) { in.own = progressOf(5, false) },
		"the list of entries is older":    func(in *splitInputs) { in.membersAge = in.newestAge + time.Second },
		"an entry adopted other service": func(in *splitInputs) {
			in.progress["a"] = told(in.now, Progress{Ready: true, Adopted: map[string]int64{"other": 5}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			in := in
			in.progress = map[string]*entryProgress{"a": adopted, "b": adopted}
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
