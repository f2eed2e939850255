package publish

import (
	"context"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/fault"
	"peridotchute.example/config"
	"peridotchute.example/store"
)

// Accept makes the declared configuration the version after its base. Exactly
// one of several changes on one base is accepted. Repeating a change with its
// id returns the version that it was accepted as.
//
// KindConflict has a *Conflict as its cause; KindUnavailable means that the
// change was not accepted and will not be; KindUnknown that it may have been:
// repeat it with the same id.
func (s *Store) Accept(ctx context.Context, c Change) (*config.Configuration, error) {
	if !changeIDs.MatchString(c.ChangeID) {
		return nil, fault.Newf(fault.KindInvalid, "config.accept", "", "change id %q is not 1 to 100 letters, digits, dots, dashes or underscores", c.ChangeID)
	}
	h, row, err := s.readHead(ctx)
	if err != nil && !fault.Is(err, fault.KindNotFound) {
		return nil, err
	}
	if h.Version != c.Base {
		return s.settle(ctx, c)
	}
	next, err := s.prepare(ctx, c, &h)
	if err != nil {
		return nil, err
	}
	err = s.writeHead(ctx, row, h)
	switch fault.KindOf(err) {
	case fault.KindConflict, fault.KindUnknown:
		return s.settle(ctx, c)
	}
	if err != nil {
		return nil, err
	}
	return s.advance(next), nil
}

// prepare writes everything that the new head will refer to and sets h to it.
func (s *Store) prepare(ctx context.Context, c Change, h *head) (*config.Configuration, error) {
	base, err := s.base(ctx, *h)
	if err != nil {
		return nil, err
	}
	next := *c.Declared
	next.Version = h.Version + 1
	next.ChangeID = c.ChangeID
	delta := config.NewDelta(base, &next)
	if _, err := delta.Apply(base); err != nil {
		return nil, fault.New(fault.KindInvalid, "config.accept", "", err)
	}
	rec := record{
		Version:    next.Version,
		ChangeID:   c.ChangeID,
		Previous:   h.ChangeID,
		Digest:     delta.Digest,
		Author:     c.Author,
		AcceptedAt: c.At,
		Delta:      &delta,
	}
	if err := s.addSnapshot(ctx, &rec, &next); err != nil {
		return nil, err
	}
	if err := s.writeRecord(ctx, rec); err != nil {
		return nil, err
	}
	h.Version = rec.Version
	h.ChangeID = rec.ChangeID
	return &next, nil
}

// writeRecord writes the record, or finds it written: by an earlier try of the
// same change, or by this one when the answer was lost.
func (s *Store) writeRecord(ctx context.Context, rec record) error {
	_, err := s.table.PutIfAbsent(ctx, deltaKey(rec.Version, rec.ChangeID), encode(rec))
	if err == nil {
		return nil
	}
	if !fault.Is(err, fault.KindConflict) && !fault.Is(err, fault.KindUnknown) {
		return notAccepted(err)
	}
	earlier, err := s.record(ctx, rec.Version, rec.ChangeID)
	if err != nil {
		return notAccepted(err)
	}
	if earlier.Digest != rec.Digest || earlier.Previous != rec.Previous {
		return reused(rec.ChangeID)
	}
	return nil
}

func reused(changeID string) error {
	return fault.Newf(fault.KindInvalid, "config.accept", "", "change id %q was used for another change", changeID)
}

func (s *Store) base(ctx context.Context, h head) (*config.Configuration, error) {
	known := s.known()
	if h.Version == 0 {
		return nil, nil
	}
	if known != nil && known.Version == h.Version {
		return known, nil
	}
	return s.load(ctx, h.Version, h.ChangeID, known)
}

// addSnapshot writes a snapshot when one is due or the delta is too large.
// With the object store down a small delta goes on without one.
func (s *Store) addSnapshot(ctx context.Context, rec *record, next *config.Configuration) error {
	tooLarge := len(encode(rec)) > maxDeltaBytes
	due := rec.Version%snapshotEvery == 1
	if !tooLarge && !due {
		return nil
	}
	key := snapshotKey(rec.Version, rec.Digest)
	err := s.objects.Put(ctx, key, encode(next))
	if err != nil && tooLarge {
		return notAccepted(err)
	}
	if err == nil {
		rec.Snapshot = key
	}
	if tooLarge {
		rec.Delta = nil
	}
	return nil
}

// notAccepted wraps the failure of a write before the head: whether it took
// effect or not, the change was not accepted.
func notAccepted(err error) error {
	return fault.New(fault.KindUnavailable, "config.accept", "", err)
}

func (s *Store) writeHead(ctx context.Context, row store.Row, h head) error {
	var err error
	if row.Version == "" {
		_, err = s.table.PutIfAbsent(ctx, headKey, encode(h))
	} else {
		_, err = s.table.CompareAndSet(ctx, headKey, row.Version, encode(h))
	}
	return err
}

// settle finds out what became of a change after its write of the head lost or
// its answer was lost, or when the head has moved past its base.
func (s *Store) settle(ctx context.Context, c Change) (*config.Configuration, error) {
	var chain []record
	var err error
	for attempt := range headAttempts {
		if attempt > 0 {
			_ = clock.Sleep(ctx, headRetry)
		}
		if chain, err = s.chain(ctx, c.Base+1); err == nil && len(chain) > 0 {
			return s.verdict(ctx, c, chain)
		}
	}
	if err == nil {
		err = fault.Newf(fault.KindUnknown, "config.accept", "", "the table shows a head older than version %d", c.Base+1)
	}
	return nil, fault.New(fault.KindUnknown, "config.accept", "", err)
}

// verdict judges by the accepted record that follows the change's base.
func (s *Store) verdict(ctx context.Context, c Change, chain []record) (*config.Configuration, error) {
	current, err := s.Read(ctx)
	if err != nil {
		return nil, fault.New(fault.KindUnknown, "config.accept", "", err)
	}
	winner := chain[0]
	if winner.ChangeID != c.ChangeID {
		return nil, s.conflict(ctx, c.Base, current)
	}
	accepted := *c.Declared
	accepted.Version = winner.Version
	accepted.ChangeID = winner.ChangeID
	if config.Digest(&accepted) != winner.Digest {
		return nil, reused(c.ChangeID)
	}
	return &accepted, nil
}

func (s *Store) conflict(ctx context.Context, baseVersion uint64, current *config.Configuration) error {
	var base *config.Configuration
	if baseVersion > 0 {
		var err error
		if base, err = s.Version(ctx, baseVersion); err != nil {
			return err
		}
	}
	cause := &Conflict{Base: baseVersion, Current: current, Changes: config.Diff(base, current)}
	return fault.New(fault.KindConflict, "config.accept", "", cause)
}
