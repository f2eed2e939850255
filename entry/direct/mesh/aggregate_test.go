package mesh

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func identities(n int, of func(i int) Identity) []Identity {
	out := make([]Identity, n)
	for i := range out {
		out[i] = of(i)
	}
	return out
}

func TestAggregatorHasMostProcessorOfItsZone(t *testing.T) {
	self := Identity{Name: "m", Zone: "a", Processor: 0.2}
	small := func(i int) Identity { return Identity{Name: fmt.Sprintf("n%02d", i), Zone: "a", Processor: 0.2} }
	few := identities(maxFlatEntries-1, small)
	many := identities(maxFlatEntries, small)
	strong := Identity{Name: "z", Zone: "a", Processor: 0.8}
	stronger := Identity{Name: "y", Zone: "a", Processor: 1}
	elsewhere := Identity{Name: "x", Zone: "b", Processor: 4}
	for name, c := range map[string]struct {
		peers   []Identity
		current string
		want    string
	}{
		"few entries":                        {append(few[1:], strong), "m", "m"},
		"lowest name of equals":              {many, "m", "m"},
		"most processor":                     {append(many, strong, elsewhere), "m", "z"},
		"current one of nearly as much":      {append(many, strong, stronger), "z", "z"},
		"current one of much less processor": {append(many, strong), "n05", "z"},
		"current one is gone":                {many, "z", "m"},
		"current one of another zone":        {append(many, elsewhere), "x", "m"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, aggregatorOf(self, c.peers, c.current), c.want)
		})
	}
}

// TestLoadOfLargeMeshIsSummedByAggregators has more entries than tell each other their load
// directly. Each must know the load of all others, once, also after an aggregator has ended.
func TestLoadOfLargeMeshIsSummedByAggregators(t *testing.T) {
	const entries, zones = maxFlatEntries + 6, 3
	rows := newTable()
	all := startAll(t, entries, func(i int, o *Options) {
		o.Table, o.Self.Zone, o.Self.Region = rows, fmt.Sprint("zone", i%zones), fmt.Sprint("region", i%2)
		o.Self.Processor = 0.15
		if i < 2*zones {
			o.Self.Processor = 0.8
		}
	})
	awaitAll(t, all)
	sum := 0
	for i, e := range all {
		e.SetLoad([]ServerLoad{{ID: "s", Requests: i + 1}})
		sum += i + 1
	}
	knowsOthers := func(i int) func() bool {
		return func() bool { return requests(all[i], "s") == sum-i-1 }
	}
	for i := range all {
		await(t, fmt.Sprint("the load of all others at ", all[i].self.Name), knowsOthers(i))
	}
	for _, e := range all[2*zones:] {
		await(t, e.self.Name+", of little processor, tells its load to one entry", func() bool {
			links, aggregates := loadLinks(e)
			return links == 1 && !aggregates
		})
	}
	ended := slices.IndexFunc(all, func(e *entry) bool {
		_, aggregates := loadLinks(e)
		return aggregates
	})
	assert.Assert(t, ended >= 0)
	all[ended].stop()
	sum -= ended + 1
	for i := range all {
		if i != ended {
			await(t, fmt.Sprint("the load of the remaining ones at ", all[i].self.Name), knowsOthers(i))
		}
	}
}

// loadLinks returns the number of peers with which an entry exchanges load, and whether it
// is an aggregator.
func loadLinks(e *entry) (n int, aggregates bool) {
	e.Mesh.mu.Lock()
	defer e.Mesh.mu.Unlock()
	return e.loadPeers(), e.aggregator == e.self.Name
}

// TestDocumentReachesLargeMeshThroughAggregators offers documents at an entry that is no
// aggregator.
func TestDocumentReachesLargeMeshThroughAggregators(t *testing.T) {
	const entries, zones = maxFlatEntries + 4, 2
	rows := newTable()
	all := startAll(t, entries, func(i int, o *Options) {
		o.Table, o.Self.Zone, o.Self.Region = rows, fmt.Sprint("zone", i%zones), "region"
		o.Self.Processor = 0.15
		if i < zones {
			o.Self.Processor = 0.8
		}
	})
	awaitAll(t, all)
	for version := range int64(3) {
		all[entries-1].Offer(Document{Kind: "k", Version: version + 1, Body: []byte("body")})
		for _, e := range all[:entries-1] {
			await(t, "the document at "+e.self.Name, func() bool { return e.newest().Version == version+1 })
		}
	}
}

func TestMessagesToOthersAreBounded(t *testing.T) {
	for _, peers := range []int{1, 18, 102, 399} {
		assert.Assert(t, float64(peers)/quietInterval(peers).Seconds() <= maxQuietMessagesPerSecond, "%d peers", peers)
		assert.Assert(t, quietInterval(peers) >= minHeartbeatInterval)
	}
}
