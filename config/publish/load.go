package publish

import (
	"context"
	"encoding/json"

	"peridotchute.example/common/fault"
	"peridotchute.example/config"
)

// load returns the version with the given change id. It applies deltas to known if
// that is an earlier version in the same chain, or else to the nearest snapshot.
func (s *Store) load(ctx context.Context, version uint64, changeID string, known *config.Configuration) (*config.Configuration, error) {
	since := versionBeforeSnapshot(version)
	if known != nil && known.Version > since && known.Version < version {
		since = known.Version
	}
	records, err := s.listRecords(ctx, since, version)
	if err != nil {
		return nil, err
	}
	var pending []config.Delta
	for version > 0 {
		if known != nil && known.Version == version && known.ChangeID == changeID {
			return apply(known, pending)
		}
		rec, err := s.findRecord(ctx, records, version, changeID)
		if err != nil {
			return nil, err
		}
		if rec.Snapshot != "" {
			base, err := s.readSnapshot(ctx, rec)
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

// versionBeforeSnapshot returns the version before the latest regular snapshot that
// is not newer than version.
func versionBeforeSnapshot(version uint64) uint64 {
	return (version - 1) / snapshotInterval * snapshotInterval
}

// apply applies deltas, which are sorted newest first, to base in order of version.
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

// recordID identifies a record.
type recordID struct {
	version  uint64
	changeID string
}

// listRecords reads the records of the versions after since, up to version, in one
// query. They include records of changes that were not accepted.
func (s *Store) listRecords(ctx context.Context, since, version uint64) (map[recordID]record, error) {
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

// findRecord returns a record from records, or reads it from the table.
func (s *Store) findRecord(ctx context.Context, records map[recordID]record, version uint64, changeID string) (record, error) {
	if rec, ok := records[recordID{version, changeID}]; ok {
		return rec, nil
	}
	return s.readRecord(ctx, version, changeID)
}

// readRecord reads a record that is known to exist. If it is missing, the platform
// answered from a stale replica, which is reported as KindUnavailable.
func (s *Store) readRecord(ctx context.Context, version uint64, changeID string) (record, error) {
	row, err := s.table.Get(ctx, deltaKey(version, changeID))
	if fault.Is(err, fault.KindNotFound) {
		return record{}, fault.New(fault.KindUnavailable, "config.record", "", err)
	}
	if err != nil {
		return record{}, err
	}
	return decode[record](row)
}

func (s *Store) readSnapshot(ctx context.Context, rec record) (*config.Configuration, error) {
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

// chain returns the accepted records from version to the head, oldest first. It is
// empty if version is 0 or newer than the head.
func (s *Store) chain(ctx context.Context, version uint64) ([]record, error) {
	h, _, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if version == 0 || version > h.Version {
		return nil, nil
	}
	records, err := s.listRecords(ctx, version-1, h.Version)
	if err != nil {
		return nil, err
	}
	out := make([]record, h.Version-version+1)
	changeID := h.ChangeID
	for v := h.Version; v >= version; v-- {
		rec, err := s.findRecord(ctx, records, v, changeID)
		if err != nil {
			return nil, err
		}
		out[v-version] = rec
		changeID = rec.Previous
	}
	return out, nil
}
