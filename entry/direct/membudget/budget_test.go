package membudget

import (
	"bytes"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const smallVM = 184 << 20 // bytes

// TestServersTogetherHoldAtMostTheBudget lets buffers of servers and requests grow and end in
// any order.
func TestServersTogetherHoldAtMostTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(smallVM)
		var all []Account
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				all = append(all, b.Server(rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(t, "server")))
			case 1:
				all = append(all, b.RequestBody())
			default:
				if len(all) == 0 {
					continue
				}
				a := &all[rapid.IntRange(0, len(all)-1).Draw(t, "account")]
				held := a.held
				if a.Resize(rapid.SampledFrom([]int{0, 800, FreeBytes, FreeBytes + 1, 1 << 20, 4 << 20, 1 << 30}).Draw(t, "capacity")) != nil {
					assert.Equal(t, a.held, held)
				}
			}
			checkInvariants(t, b, all)
		}
		for i := range all {
			all[i].Release()
		}
		assert.Equal(t, b.State().Held, int64(0))
		assert.Equal(t, len(b.State().ByHolder), 0)
	})
}

func checkInvariants(t *rapid.T, b *Budget, all []Account) {
	sums := map[string]int64{}
	total := int64(0)
	for i := range all {
		sums[all[i].holder] += all[i].held
		total += all[i].held
	}
	s := b.State()
	assert.Equal(t, s.Held, total)
	assert.Assert(t, s.Held <= s.Limit)
	for holder, n := range sums {
		assert.Equal(t, s.ByHolder[holder], n)
		assert.Assert(t, n <= b.partOf(holder))
	}
}

// TestFaultyServersLeaveMemoryForOthers uses up the parts of three servers and of requests.
func TestFaultyServersLeaveMemoryForOthers(t *testing.T) {
	b := New(smallVM)
	fill := func(a func() Account) {
		for {
			next := a()
			if next.Resize(64<<10) != nil {
				return
			}
		}
	}
	for _, id := range []string{"s1", "s2", "s3"} {
		fill(func() Account { return b.Server(id) })
	}
	fill(b.RequestBody)
	sound := b.Server("s4")
	assert.NilError(t, sound.Resize(1<<20))
	faulty := b.Server("s1")
	var short *ShortError
	assert.Assert(t, errors.As(faulty.Resize(64<<10), &short))
	assert.Equal(t, short.Holder, "s1")
	assert.Assert(t, !short.All)
	assert.NilError(t, faulty.Resize(FreeBytes), "a usual answer of any server passes")
}

func TestReadAllHoldsNothingAfterAnError(t *testing.T) {
	b := New(0)
	a := b.Server("s1")
	data := bytes.Repeat([]byte("x"), 100_000)
	got, err := ReadAll(bytes.NewReader(data), 0, &a)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, data))
	assert.Assert(t, b.State().Held >= int64(len(data)))
	a.Release()
	_, err = ReadAll(bytes.NewReader(make([]byte, 8<<20)), 0, &a)
	var short *ShortError
	assert.Assert(t, errors.As(err, &short))
	assert.Equal(t, b.State().Held, int64(0))
}

func TestBuffersOfUsualSizeAllocateNothing(t *testing.T) {
	b := New(smallVM)
	n := testing.AllocsPerRun(1000, func() {
		a := b.Server("s1")
		_ = a.Resize(4096)
		a.Release()
	})
	assert.Equal(t, n, 0.0)
}

// TestBodyOfKnownLengthTakesNoMore reads a body that is one byte longer than a power of two.
func TestBodyOfKnownLengthTakesNoMore(t *testing.T) {
	const length = 1<<20 + 1
	for name, sent := range map[string]int{"as declared": length, "longer": 3 * length, "shorter": 10} {
		t.Run(name, func(t *testing.T) {
			b := New(smallVM)
			a := b.RequestBody()
			got, err := ReadAll(bytes.NewReader(make([]byte, sent)), length, &a)
			assert.NilError(t, err)
			assert.Equal(t, len(got), sent)
			if sent == length {
				assert.Assert(t, b.State().Held <= length+minRead)
			}
		})
	}
}
