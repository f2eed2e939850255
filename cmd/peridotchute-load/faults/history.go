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
	settleLimit = 2 * time.Minute // after the last fault
	settlePause = time.Second
	listPage    = 200
)

// history gathers what was asked, run and told, once everything is settled or
// the limit has passed.
func (c *caller) history(ctx context.Context) (History, error) {
	h := History{Asks: c.asks, Runs: map[string][]plain.Call{}, Fates: map[string]Fate{}, Unresolved: map[string]bool{}}
	if err := c.fates(h); err != nil {
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
