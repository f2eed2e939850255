package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"peridotchute.example/cmd/peridotchute-load/measure"
	"peridotchute.example/common/event"
	"peridotchute.example/config"
	"peridotchute.example/config/publish"
	"peridotchute.example/integration/cluster"
)

// Run starts a cluster and measures every time.
func Run(ctx context.Context, o Options, out io.Writer) error {
	c, err := cluster.New(cluster.Options{Entries: o.Entries, Sides: o.Sides})
	if c != nil {
		defer c.Close()
	}
	if err != nil {
		return err
	}
	r := results{pushed: measure.NewDurations(), polled: measure.NewDurations(), left: measure.NewDurations()}
	if err := r.changes(ctx, c, o.Changes); err != nil {
		return err
	}
	if err := r.leaves(ctx, o.Leaves); err != nil {
		return err
	}
	return r.report(o, out)
}

// changes accepts versions in the way of an entry, which spreads them, and then
// without anybody who does.
func (r results) changes(ctx context.Context, c *cluster.Cluster, n int) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	joined, err := c.Join(ctx, "rollout", c.Entry(1), log)
	if err != nil {
		return err
	}
	store := publish.New(c.Table(), c.Objects())
	for i := range n {
		d, err := rollOut(ctx, c, store, i, joined.Holder.Offer)
		if err != nil {
			return err
		}
		r.pushed.Add(d)
	}
	if err := joined.Close(); err != nil {
		return err
	}
	for i := range n {
		d, err := rollOut(ctx, c, store, n+i, nil)
		if err != nil {
			return err
		}
		r.polled.Add(d)
	}
	return nil
}

// rollOut accepts one version and returns the time until it was in force at
// every process. spread, unless nil, is given the accepted version.
func rollOut(ctx context.Context, c *cluster.Cluster, store *publish.Store, i int, spread func(*config.Configuration) bool) (time.Duration, error) {
	current, err := store.Read(ctx)
	if err != nil {
		return 0, err
	}
	declared := *current
	declared.Policy.MaxBodyBytes = int64(1<<20 + i)
	start := time.Now()
	accepted, err := store.Accept(ctx, publish.Change{Base: current.Version, Declared: &declared, ChangeID: uuid.NewString(), Author: "rollout", At: start})
	if err != nil {
		return 0, err
	}
	if spread != nil {
		spread(accepted)
	}
	last := start
	processes := c.Processes()
	for _, p := range processes[:len(processes)-1] { // the last one is the stand-ins
		at, err := inForce(p, accepted.Version)
		if err != nil {
			return 0, err
		}
		if at.After(last) {
			last = at
		}
	}
	return last.Sub(start), nil
}

// inForce waits until a process logs that it uses a version, and returns when
// it did.
func inForce(p *cluster.Process, version uint64) (time.Time, error) {
	var at time.Time
	err := cluster.Await(func() error {
		for _, line := range strings.Split(p.Stderr(), "\n") {
			var logged struct {
				Event int       `json:"event"`
				Count uint64    `json:"count"`
				Time  time.Time `json:"time"`
			}
			if json.Unmarshal([]byte(line), &logged) == nil && logged.Event == event.ConfigInForce.ID && logged.Count == version {
				at = logged.Time
				return nil
			}
		}
		return fmt.Errorf("%s does not use version %d", p.Name, version)
	})
	return at, err
}
