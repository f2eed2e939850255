package publish

import (
	"context"
	"time"
)

// HistoryEntry describes one accepted version.
type HistoryEntry struct {
	Version    uint64    `json:"version"`
	ChangeID   string    `json:"change_id"`
	Digest     string    `json:"digest"`
	Author     string    `json:"author,omitempty"`
	AcceptedAt time.Time `json:"accepted_at"`
}

// History returns up to limit accepted versions, newest first.
func (s *Store) History(ctx context.Context, limit int) ([]HistoryEntry, error) {
	h, _, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	oldest := uint64(1)
	if h.Version > uint64(limit) {
		oldest = h.Version - uint64(limit) + 1
	}
	chain, err := s.chain(ctx, oldest)
	if err != nil {
		return nil, err
	}
	out := make([]HistoryEntry, 0, len(chain))
	for i := len(chain) - 1; i >= 0; i-- {
		r := chain[i]
		out = append(out, HistoryEntry{Version: r.Version, ChangeID: r.ChangeID, Digest: r.Digest, Author: r.Author, AcceptedAt: r.AcceptedAt})
	}
	return out, nil
}
