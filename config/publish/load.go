package publish

import (
	"context"
	"encoding/json"

	"peridotchute.example/common/fault"
	"peridotchute.example/config"
)

// load builds the version that changeID names, from known when that is one of
// its predecessors, else from the nearest snapshot.
func (s *Store) load(ctx context.Context, version uint64, changeID string, known *config.Configuration) (*config.Configuration, error) {
	since := snapshotFloor(version)
	if known != nil && known.Version > since && known.Version < version {
		since = known.Version
	}
	records, err := s.records(ctx, since, version)
	if err != nil {
		return nil, err
	}
	var pending []config.Delta
	for version > 0 {
		if known != nil && known.Version == version && known.ChangeID == changeID {
			return apply(known, pending)
		}
		rec, err := s.recordFrom(ctx, records, version, changeID)
		if err != nil {
			return nil, err
		}
		if rec.Snapshot != "" {
			base, err := s.snapshot(ctx, rec)
			if err == nil {
				return apply(base, pending)
			}
			if rec.Delta == nil {
				return nil, err
			}
		}
		if rec.Delta == nil {
			return nil, fault.Newf(fault.KindInternal, "config.record", deltaKey(version, changeID), "neither a delta nor a snapshot")
		}
		pending = append(pending, *rec.Delta)
		version, changeID = version-1, rec.Previous
	}
	return apply(nil, pending)
}

// snapshotFloor returns the version before the one whose snapshot leads to version.
func snapshotFloor(version uint64) uint64 {
	return (version - 1) / snapshotEvery * snapshotEvery
}

// apply applies deltas, the newest first in the slice, to base.
func apply(base *config.Configuration, newestFirst []config.Delta) (*config.Configuration, error) {
	for i := len(newestFirst) - 1; i >= 0; i-- {
		next, err := newestFirst[i].Apply(base)
		if err != nil {
			return nil, fault.New(fault.KindInternal, "config.apply", "", err)
		}
		base = next
	}
	return base, nil
}

// recordID names one record.
type recordID struct {
	version  uint64
	changeID string
}

// records reads the records of the versions after since, up to version, in one
// query. Those of changes that lost are among them.
func (s *Store) records(ctx context.Context, since, version uint64) (map[recordID]record, error) {
	limit := int(version-since) * 2
	rows, err := s.table.List(ctx, deltaPrefix, deltaKey(since+1, ""), limit)
	if err != nil {
		return nil, err
	}
	out := make(map[recordID]record, len(rows))
	for _, row := range rows {
		rec, err := decode[record](row)
		if err != nil {
			return nil, err
		}
		out[recordID{rec.Version, rec.ChangeID}] = rec
	}
	return out, nil
}

// recordFrom returns a record from those already read, else from the table.
func (s *Store) recordFrom(ctx context.Context, records map[recordID]record, version uint64, changeID string) (record, error) {
	if rec, ok := records[recordID{version, changeID}]; ok {
		return rec, nil
	}
	return s.record(ctx, version, changeID)
}

// record reads a record that is known to be written; its absence means that
// the platform answered from a stale replica.
func (s *Store) record(ctx context.Context, version uint64, changeID string) (record, error) {
	row, err := s.table.Get(ctx, deltaKey(version, changeID))
	if fault.Is(err, fault.KindNotFound) {
		return record{}, fault.New(fault.KindUnavailable, "config.record", "", err)
	}
	if err != nil {
		return record{}, err
	}
	return decode[record](row)
}

func (s *Store) snapshot(ctx context.Context, rec record) (*config.Configuration, error) {
	body, err := s.objects.Get(ctx, rec.Snapshot)
	if err != nil {
		return nil, err
	}
	c := &config.Configuration{}
	if err := json.Unmarshal(body, c); err != nil {
		return nil, fault.New(fault.KindInternal, "config.snapshot", rec.Snapshot, err)
	}
	if got := config.Digest(c); got != rec.Digest {
		return nil, fault.Newf(fault.KindInternal, "config.snapshot", rec.Snapshot, "digest %s, want %s", got, rec.Digest)
	}
	return c, nil
}

// chain returns the accepted records from the head back to version, the
// oldest first.
func (s *Store) chain(ctx context.Context, version uint64) ([]record, error) {
	h, _, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if version == 0 || version > h.Version {
		return nil, nil
	}
	records, err := s.records(ctx, version-1, h.Version)
	if err != nil {
		return nil, err
	}
	out := make([]record, h.Version-version+1)
	changeID := h.ChangeID
	for v := h.Version; v >= version; v-- {
		rec, err := s.recordFrom(ctx, records, v, changeID)
		if err != nil {
			return nil, err
		}
		out[v-version] = rec
		changeID = rec.Previous
	}
	return out, nil
}
