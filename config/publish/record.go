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

// Keys of the rows and objects.
const (
	headKey        = "config/head"
	deltaPrefix    = "config/delta/"
	snapshotPrefix = "config/snapshot/"
)

// head is the row that decides which version is the newest.
type head struct {
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
}

// record is one change. Many records may be written for one version; the one
// that the head or the following record names is the accepted one.
type record struct {
	Version    uint64        `json:"version"`
	ChangeID   string        `json:"change_id"`
	Previous   string        `json:"previous,omitempty"` // change id of Version-1
	Digest     string        `json:"digest"`
	Author     string        `json:"author,omitempty"`
	AcceptedAt time.Time     `json:"accepted_at"`
	Snapshot   string        `json:"snapshot,omitempty"` // object that holds this version whole
	Delta      *config.Delta `json:"delta,omitempty"`    // absent when it is too large for a row
}

// changeIDs are safe as part of a row's key.
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
