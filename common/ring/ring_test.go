package ring

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFullRingFollowsItsPolicy(t *testing.T) {
	tests := []struct {
		name   string
		policy Policy
		first  int
	}{
		{name: "reject keeps the oldest", policy: Reject, first: 1},
		{name: "drop oldest keeps the newest", policy: DropOldest, first: 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := New[int](2, tc.policy)
			r.Offer(1)
			r.Offer(2)
			accepted := r.Offer(3)
			assert.Equal(t, accepted, tc.policy == DropOldest)
			assert.Equal(t, r.Dropped(), uint64(1))
			got, err := r.Take(context.Background())
			assert.NilError(t, err)
			assert.Equal(t, got, tc.first)
			assert.Equal(t, r.Len(), 1)
		})
	}
}

func TestTakeEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := New[int](1, Reject).Take(ctx)
	assert.ErrorIs(t, err, context.Canceled)
}
