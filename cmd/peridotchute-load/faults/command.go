// Package faults sends non-idempotent actions through a deployment that
// suffers seeded random faults, and checks that every promise was kept.
package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"peridotchute.example/common/wire"
	"peridotchute.example/entry/action"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/integration/proxy"
	"peridotchute.example/standin/plain"
)

const (
	settleLimit = 2 * time.Minute // after the last fault
	settlePause = time.Second
	listPage    = 200
)

// Options of one run.
type Options struct {
	Seed    uint64
	For     time.Duration
	Entries int
	Plain   int
	Workers int
	Quiet   bool
}

// ErrBroken means that a promise was broken.
var ErrBroken = errors.New("a promise was broken")

// Command returns the subcommand.
func Command() *cobra.Command {
	o := Options{}
	cmd := &cobra.Command{
		Use:   "faults",
		Short: "Send non-idempotent actions under random faults and check every promise",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t, err := Run(cmd.Context(), o, cmd.OutOrStdout())
			if err != nil {
				return err
			}
			t.print(cmd.OutOrStdout())
			if t.Broken.Any() {
				return ErrBroken
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "of the faults and of the callers' choices")
	f.DurationVar(&o.For, "for", time.Minute, "how long faults and traffic last")
	f.IntVar(&o.Entries, "entries", 3, "entry processes")
	f.IntVar(&o.Plain, "services", 3, "backend servers")
	f.IntVar(&o.Workers, "callers", 12, "callers at once")
	f.BoolVar(&o.Quiet, "quiet", false, "do not print each fault")
	return cmd
}

// Run brings about the faults and returns the tally.
func Run(ctx context.Context, o Options, out io.Writer) (Tally, error) {
	proxies := proxy.NewServer()
	defer proxies.Close()
	c, err := cluster.New(cluster.Options{Entries: o.Entries, Plain: o.Plain, Proxies: proxies})
	if c != nil {
		defer func() { _ = c.Close() }()
	}
	if err != nil {
		return Tally{}, err
	}
	calls := newCaller(c, o.Seed)
	if err := calls.awaitFirst(); err != nil {
		return Tally{}, err
	}
	if err := suffer(ctx, o, c, proxies, calls, out); err != nil {
		return Tally{}, err
	}
	h, err := calls.history(ctx)
	if err != nil {
		return Tally{}, err
	}
	return Check(h), nil
}

// suffer runs traffic and faults for the given time.
func suffer(ctx context.Context, o Options, c *cluster.Cluster, proxies *proxy.Server, calls *caller, out io.Writer) error {
	if o.Quiet {
		out = io.Discard
	}
	ctx, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	var workers sync.WaitGroup
	for i := range o.Workers {
		workers.Go(func() { calls.work(ctx, i) })
	}
	bad := &chaos{
		cluster: c, proxies: proxies, out: out, began: time.Now(), busy: map[string]bool{},
		rnd: rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
	err := bad.run(ctx)
	workers.Wait()
	fmt.Fprintf(out, "%d faults\n", bad.count)
	return err
}

// awaitFirst waits until every entry completes an action.
func (c *caller) awaitFirst() error {
	for i, e := range c.cluster.Entries() {
		n := 0
		err := cluster.Await(func() error {
			n++
			outcome, _ := c.exchange(e, fmt.Sprintf("first-%d-%d", i, n), "first")
			if outcome != wire.OutcomeCompleted {
				return fmt.Errorf("%s told %q\n%s", e.Name, outcome, c.cluster.Output())
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// history gathers what was asked, run and told, once everything is settled or
// the limit has passed.
func (c *caller) history(ctx context.Context) (History, error) {
	h := History{Asks: c.asks, Runs: map[string][]plain.Call{}, Fates: map[string]Fate{}, Unresolved: map[string]bool{}}
	if err := c.fates(h); err != nil {
		return h, err
	}
	for _, s := range c.cluster.Sides() {
		calls, err := callsOf(s)
		if err != nil {
			return h, err
		}
		for _, call := range calls {
			_, key, _ := strings.Cut(call.Key, "/")
			h.Runs[key] = append(h.Runs[key], call)
		}
	}
	return h, c.unresolved(ctx, h)
}

// fates asks for the outcome of every action until none is open.
func (c *caller) fates(h History) error {
	limit := time.Now().Add(settleLimit)
	e := c.cluster.Entry(1)
	for {
		open := 0
		for _, a := range h.Asks {
			if _, ok := h.Fates[a.Key]; ok {
				continue
			}
			f, err := c.fate(e, a.Key)
			late := time.Now().After(limit)
			switch {
			case err == nil || errors.Is(err, errOpen) && late:
				h.Fates[a.Key] = f
			case late:
				return err
			default:
				open++
			}
		}
		if open == 0 {
			return nil
		}
		time.Sleep(settlePause)
	}
}

func (c *caller) unresolved(ctx context.Context, h History) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	runner := action.NewRunner(c.cluster.Table(), nil, nil, log)
	for cursor := ""; ; {
		page, next, err := runner.Unresolved(ctx, cursor, listPage)
		if err != nil {
			return err
		}
		for _, u := range page {
			h.Unresolved[u.Key] = true
		}
		if next == "" {
			return nil
		}
		cursor = next
	}
}

func callsOf(s *cluster.Side) ([]plain.Call, error) {
	resp, err := http.Get(s.BackendURL() + "/control/calls")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var calls []plain.Call
	err = json.NewDecoder(resp.Body).Decode(&calls)
	return calls, err
}

func setBehaviour(s *cluster.Side, b plain.Behaviour) error {
	raw, err := json.Marshal(b)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, s.BackendURL()+"/control/behaviour", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (t Tally) print(out io.Writer) {
	rows := []struct {
		name string
		n    int
	}{
		{"actions asked", t.Asked},
		{"requests, with repeats", t.Requests},
		{"told completed", t.Completed},
		{"told not-run", t.ToldNotRun},
		{"told unknown", t.Unknown},
		{"no answer", t.NoAnswer},
		{"run once", t.RunOnce},
		{"never run", t.NotRun},
		{"unresolved, on the list", t.Unresolved},
		{"RUN TWICE", t.Broken.RunTwice},
		{"NOT-RUN TOLD FALSELY", t.Broken.NotRunFalse},
		{"LOST UNANNOUNCED", t.Broken.LostUnannounced},
		{"WRONG ANSWER", t.Broken.WrongAnswer},
		{"NEVER SETTLED", t.Broken.Unsettled},
	}
	for _, r := range rows {
		fmt.Fprintf(out, "%-26s %7d\n", r.name, r.n)
	}
}
