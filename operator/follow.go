package operator

import (
	"context"
	"time"

	"peridotchute.example/common/clock"
	"peridotchute.example/operator/api"
)

// followInterval is the time between two looks at the status.
const followInterval = 500 * time.Millisecond

// Spread is how far a version has got.
type Spread struct {
	Version uint64
	Have    int      // members that have put it in force
	Behind  []string // names of the others
}

// Done reports whether every member has the version.
func (s Spread) Done() bool { return len(s.Behind) == 0 && s.Have > 0 }

// SpreadOf returns how far a version has got in a status. Members that are
// gone do not count.
func SpreadOf(status *api.Status, version uint64) Spread {
	s := Spread{Version: version}
	for _, m := range status.Members {
		switch {
		case m.State == api.StateGone:
		case m.Version >= version:
			s.Have++
		default:
			s.Behind = append(s.Behind, m.Name)
		}
	}
	return s
}

// Follow looks at the status until every member has the version or ctx ends,
// and calls progress after each look that shows something new.
func (c *Client) Follow(ctx context.Context, version uint64, progress func(Spread)) (Spread, error) {
	var last Spread
	for {
		status, err := c.Status(ctx)
		if err == nil {
			now := SpreadOf(status, version)
			if now.Have != last.Have || len(now.Behind) != len(last.Behind) {
				progress(now)
			}
			last = now
		}
		if last.Done() {
			return last, nil
		}
		if err := clock.Sleep(ctx, followInterval); err != nil {
			return last, err
		}
	}
}
