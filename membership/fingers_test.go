package membership

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFingersReachEveryMember(t *testing.T) {
	const n = 380
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint("entry-", i))
	}
	seen := map[string]bool{all[0]: true}
	frontier := []string{all[0]}
	hops := 0
	for ; len(frontier) > 0 && len(seen) < n; hops++ {
		var next []string
		for _, name := range frontier {
			for _, to := range Fingers(name, all) {
				if !seen[to] {
					seen[to] = true
					next = append(next, to)
				}
			}
		}
		frontier = next
	}
	assert.Equal(t, len(seen), n)
	assert.Assert(t, hops <= 9, "%d hops", hops)
	assert.Equal(t, len(Fingers(all[0], all)), 9)
	assert.Equal(t, len(Fingers("alone", nil)), 0)
}
