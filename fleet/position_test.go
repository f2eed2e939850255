package fleet

import (
	"cmp"
	"math"
	"testing"
)

func TestNumbersCompareAsPositions(t *testing.T) {
	positions := []Position{
		{},
		{Version: 1},
		{Version: 1<<versionBits - 1},
		{Era: 1},
		{Era: 1, Version: 7},
		{Era: 2, Version: 3},
		{Era: 1000, Version: 0},
	}
	for i, p := range positions {
		if got := PositionOf(p.Number()); got != p {
			t.Errorf("%+v became %+v", p, got)
		}
		for k, q := range positions {
			if p.Compare(q) != cmp.Compare(i, k) || cmp.Compare(p.Number(), q.Number()) != cmp.Compare(i, k) {
				t.Errorf("%+v and %+v: %d, numbers %d and %d", p, q, p.Compare(q), p.Number(), q.Number())
			}
		}
	}
	if n := (Position{Version: math.MaxInt32}).Number(); n != math.MaxInt32 {
		t.Errorf("era 0 is encoded as %d, not as the version alone", n)
	}
}
