package faults

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/entry/serving/action"
	"peridotchute.example/standin/plain"
)

const (
	settleTimeout  = 2 * time.Minute // after the last fault
	settleInterval = time.Second
	listPageSize   = 200
)

// history collects the requests, executions and outcomes once every action is
// settled or settleTimeout has passed.
func (c *actionClient) history(ctx context.Context) (History, error) {
	h := History{Requests: c.requests, Runs: map[string][]plain.Call{}, Outcomes: map[string]StoredOutcome{}, Unresolved: map[string]bool{}}
	if err := c.readOutcomes(h); err != nil {
		return h, err
	}
	for _, s := range c.cluster.Sides() {
		calls, err := s.Calls()
		if err != nil {
			return h, err
		}
		for _, call := range calls {
			_, key, _ := strings.Cut(call.Key, "/")
			h.Runs[key] = append(h.Runs[key], call)
		}
	}
	return h, c.readUnresolved(ctx, h)
}

// readOutcomes polls the outcome of every action until none is in progress. After
// settleTimeout it accepts actions in progress and returns any other error.
func (c *actionClient) readOutcomes(h History) error {
	limit := time.Now().Add(settleTimeout)
	e := c.cluster.Entry(1)
	for {
		pending := 0
		for _, r := range h.Requests {
			if _, ok := h.Outcomes[r.Key]; ok {
				continue
			}
			outcome, err := c.readOutcome(e, r.Key)
			timedOut := time.Now().After(limit)
			switch {
			case err == nil || errors.Is(err, errInProgress) && timedOut:
				h.Outcomes[r.Key] = outcome
			case timedOut:
				return err
			default:
				pending++
			}
		}
		if pending == 0 {
			return nil
		}
		time.Sleep(settleInterval)
	}
}

func (c *actionClient) readUnresolved(ctx context.Context, h History) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	runner := action.NewRunner(c.cluster.Table(), nil, nil, log)
	for cursor := ""; ; {
		page, next, err := runner.Unresolved(ctx, cursor, listPageSize)
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
