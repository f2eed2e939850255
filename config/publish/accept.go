package publish

import (
	"context"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/fault"
	"peridotchute.example/config"
	"peridotchute.example/store"
)

// Accept makes the declared configuration the version after c.Base and returns it.
// Of several changes with the same base, exactly one is accepted. A retry with the
// same change id returns the version that was accepted for it.
//
// KindConflict has a *Conflict as its cause. KindUnavailable means that the change
// was not and will not be accepted. KindUnknown means that it may have been
// accepted; retry with the same change id.
func (s *Store) Accept(ctx context.Context, c Change) (*config.Configuration, error) {
	if !changeIDs.MatchString(c.ChangeID) {
		return nil, fault.Newf(fault.KindInvalid, "config.accept", "", "change id %q is not 1 to 100 letters, digits, dots, dashes or underscores", c.ChangeID)
	}
	h, row, err := s.readHead(ctx)
	if err != nil && !fault.Is(err, fault.KindNotFound) {
		return nil, err
	}
	if h.Version != c.Base {
		return s.resolveOutcome(ctx, c)
	}
	next, err := s.prepare(ctx, c, &h)
	if err != nil {
		return nil, err
	}
	err = s.writeHead(ctx, row, h)
	switch fault.KindOf(err) {
	case fault.KindConflict, fault.KindUnknown:
		return s.resolveOutcome(ctx, c)
	}
	if err != nil {
		return nil, err
	}
	return s.setNewest(next), nil
}

// prepare writes the record and snapshot for the next version and updates h to
// refer to them.
func (s *Store) prepare(ctx context.Context, c Change, h *head) (*config.Configuration, error) {
	base, err := s.loadBase(ctx, *h)
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

// writeRecord writes the record. It succeeds if the same record already exists,
// because of an earlier attempt or because the response to this write was lost.
func (s *Store) writeRecord(ctx context.Context, rec record) error {
	_, err := s.table.PutIfAbsent(ctx, deltaKey(rec.Version, rec.ChangeID), encode(rec))
	if err == nil {
		return nil
	}
	if !fault.Is(err, fault.KindConflict) && !fault.Is(err, fault.KindUnknown) {
		return errNotAccepted(err)
	}
	existing, err := s.readRecord(ctx, rec.Version, rec.ChangeID)
	if err != nil {
		return errNotAccepted(err)
	}
	if existing.Digest != rec.Digest || existing.Previous != rec.Previous {
		return errChangeIDReused(rec.ChangeID)
	}
	return nil
}

func errChangeIDReused(changeID string) error {
	return fault.Newf(fault.KindInvalid, "config.accept", "", "change id %q was already used for another change", changeID)
}

func (s *Store) loadBase(ctx context.Context, h head) (*config.Configuration, error) {
	known := s.newestKnown()
	if h.Version == 0 {
		return nil, nil
	}
	if known != nil && known.Version == h.Version {
		return known, nil
	}
	return s.load(ctx, h.Version, h.ChangeID, known)
}

// addSnapshot writes a snapshot when one is due or the delta is too large.
// If the object store is down, only a change that is too large for a row fails.
func (s *Store) addSnapshot(ctx context.Context, rec *record, next *config.Configuration) error {
	tooLarge := len(encode(rec)) > maxDeltaBytes
	due := rec.Version%snapshotInterval == 1
	if !tooLarge && !due {
		return nil
	}
	key := snapshotKey(rec.Version, rec.Digest)
	err := s.objects.Put(ctx, key, encode(next))
	if err != nil && tooLarge {
		return errNotAccepted(err)
	}
	if err == nil {
		rec.Snapshot = key
	}
	if tooLarge {
		rec.Delta = nil
	}
	return nil
}

// errNotAccepted wraps the error of a write that precedes the write of the head.
// Whether or not that write took effect, the change was not accepted.
func errNotAccepted(err error) error {
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

// resolveOutcome determines whether a change was accepted. It is called after the
// write of the head conflicted or its response was lost, or if the head is not at
// the base of the change.
func (s *Store) resolveOutcome(ctx context.Context, c Change) (*config.Configuration, error) {
	var chain []record
	var err error
	for attempt := range headReadAttempts {
		if attempt > 0 {
			_ = clock.Sleep(ctx, headRetryDelay)
		}
		if chain, err = s.chain(ctx, c.Base+1); err == nil && len(chain) > 0 {
			return s.outcome(ctx, c, chain)
		}
	}
	if err == nil {
		err = fault.Newf(fault.KindUnknown, "config.accept", "", "the head in the table is older than version %d", c.Base+1)
	}
	return nil, fault.New(fault.KindUnknown, "config.accept", "", err)
}

// outcome returns the accepted configuration if chain, which starts after the base
// of the change, shows that c was accepted, or else an error such as a conflict.
func (s *Store) outcome(ctx context.Context, c Change, chain []record) (*config.Configuration, error) {
	current, err := s.Read(ctx)
	if err != nil {
		return nil, fault.New(fault.KindUnknown, "config.accept", "", err)
	}
	rec := chain[0]
	if rec.ChangeID != c.ChangeID {
		return nil, s.conflictError(ctx, c.Base, current)
	}
	accepted := *c.Declared
	accepted.Version = rec.Version
	accepted.ChangeID = rec.ChangeID
	if config.Digest(&accepted) != rec.Digest {
		return nil, errChangeIDReused(c.ChangeID)
	}
	return &accepted, nil
}

func (s *Store) conflictError(ctx context.Context, baseVersion uint64, current *config.Configuration) error {
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
