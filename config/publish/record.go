package publish

import (
	"encoding/json"
	"fmt"
	"regexp"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/config"
	"peridotchute.example/store"
)

// Keys of rows in the table and of objects in the object store.
const (
	headKey        = "config/head"
	deltaPrefix    = "config/delta/"
	snapshotPrefix = "config/snapshot/"
)

// head is the value of the row that refers to the newest version.
type head struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
}

// record describes one change. Several records may exist for one version; the
// accepted one is referred to by the head or by the record of the next version.
type record struct {
	Version    uint64        `json:"version"`
	ChangeID   string        `json:"change_id"`
	Previous   string        `json:"previous,omitempty"` // change id of the accepted record of Version-1
	Digest     string        `json:"digest"`
	Author     string        `json:"author,omitempty"`
	AcceptedAt time.Time     `json:"accepted_at"`
	Snapshot   string        `json:"snapshot,omitempty"` // key of the object with the full configuration
	Delta      *config.Delta `json:"delta,omitempty"`    // nil if it is too large for a row
}

// changeIDs matches valid change ids, which are part of row keys.
var changeIDs = regexp.MustCompile(`^[A-Za-z0-9._-]{1,100}$`)

func deltaKey(version uint64, changeID string) string {
	return fmt.Sprintf("%s%020d/%s", deltaPrefix, version, changeID)
}

func snapshotKey(version uint64, digest string) string {
	return fmt.Sprintf("%s%020d/%s", snapshotPrefix, version, digest)
}

func decode[T any](row store.Row) (T, error) {
	var v T
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, fault.New(fault.KindInternal, "config.decode", row.Key, err)
	}
	return v, nil
}

func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("publish: not encodable: " + err.Error()) // floats come from JSON, which has no NaN
	}
	return raw
}
