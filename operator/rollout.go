package operator

import (
	"context"
	"time"

	"peridotchute.example/common/clock"
	"peridotchute.example/operator/api"
)

const statusPollInterval = 500 * time.Millisecond

// Rollout is the rollout progress of a configuration version.
type Rollout struct {
	Version uint64
	Updated int      // members with this or a newer version
	Behind  []string // names of the members with an older version
}

// Done reports whether every member has the version. It is false if there are
// no members.
func (r Rollout) Done() bool { return len(r.Behind) == 0 && r.Updated > 0 }

// RolloutOf computes the rollout progress of a version from a status. Members
// in StateRemoved are not counted.
func RolloutOf(status *api.Status, version uint64) Rollout {
	r := Rollout{Version: version}
	for _, m := range status.Members {
		switch {
		case m.State == api.StateRemoved:
		case m.Version >= version:
			r.Updated++
		default:
			r.Behind = append(r.Behind, m.Name)
		}
	}
	return r
}

// Follow polls the status until every member has the version or ctx ends, and
// calls progress whenever the number of members with or without it changes.
// Failed polls are retried.
func (c *Client) Follow(ctx context.Context, version uint64, progress func(Rollout)) (Rollout, error) {
	var last Rollout
	for {
		status, err := c.Status(ctx)
		if err == nil {
			current := RolloutOf(status, version)
			if current.Updated != last.Updated || len(current.Behind) != len(last.Behind) {
				progress(current)
			}
			last = current
		}
		if last.Done() {
			return last, nil
		}
		if err := clock.Sleep(ctx, statusPollInterval); err != nil {
			return last, err
		}
	}
}
