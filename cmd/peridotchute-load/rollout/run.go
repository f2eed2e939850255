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

// Run starts a cluster, performs all measurements and writes the times to out.
func Run(ctx context.Context, o Options, out io.Writer) error {
	c, err := cluster.New(cluster.Options{Entries: o.Entries, Sides: o.Sides})
	if c != nil {
		defer c.Close()
	}
	if err != nil {
		return err
	}
	r := results{pushed: measure.NewDurations(), polled: measure.NewDurations(), leaving: measure.NewDurations()}
	if err := r.measureChanges(ctx, c, o.Changes); err != nil {
		return err
	}
	if err := r.measureLeaves(ctx, o.Leaves); err != nil {
		return err
	}
	return r.report(o, out)
}

// measureChanges accepts n versions and pushes each as an entry does, then accepts n
// more that processes have to find by polling.
func (r results) measureChanges(ctx context.Context, c *cluster.Cluster, n int) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	member, err := c.JoinAsEntry(ctx, "rollout", c.Entry(1), log)
	if err != nil {
		return err
	}
	store := publish.New(c.Table(), c.Objects())
	for i := range n {
		d, err := measureRollout(ctx, c, store, i, member.Holder.SetIfNewer)
		if err != nil {
			return err
		}
		r.pushed.Add(d)
	}
	if err := member.Close(); err != nil {
		return err
	}
	for i := range n {
		d, err := measureRollout(ctx, c, store, n+i, nil)
		if err != nil {
			return err
		}
		r.polled.Add(d)
	}
	return nil
}

// measureRollout accepts one version and returns the time until it was active in
// every process. It calls offer, unless nil, with the accepted version.
func measureRollout(ctx context.Context, c *cluster.Cluster, store *publish.Store, i int, offer func(*config.Configuration) bool) (time.Duration, error) {
	current, err := store.Read(ctx)
	if err != nil {
		return 0, err
	}
	next := *current
	next.Policy.MaxBodyBytes = int64(1<<20 + i)
	start := time.Now()
	accepted, err := store.Accept(ctx, publish.Change{Base: current.Version, Declared: &next, ChangeID: uuid.NewString(), Author: "rollout", At: start})
	if err != nil {
		return 0, err
	}
	if offer != nil {
		offer(accepted)
	}
	last := start
	processes := c.Processes()
	for _, p := range processes[:len(processes)-1] { // the last process runs the stand-ins
		at, err := awaitActive(p, accepted.Version)
		if err != nil {
			return 0, err
		}
		if at.After(last) {
			last = at
		}
	}
	return last.Sub(start), nil
}

// awaitActive waits until a process logs that the version is active and returns the
// time of that log line.
func awaitActive(p *cluster.Process, version uint64) (time.Time, error) {
	var at time.Time
	err := cluster.Await(func() error {
		for _, line := range strings.Split(p.Stderr(), "\n") {
			var logged struct {
				Event int       `json:"event"`
				Count uint64    `json:"count"`
				Time  time.Time `json:"time"`
			}
			if json.Unmarshal([]byte(line), &logged) == nil && logged.Event == event.ConfigActive.ID && logged.Count == version {
				at = logged.Time
				return nil
			}
		}
		return fmt.Errorf("%s does not use version %d", p.Name, version)
	})
	return at, err
}
