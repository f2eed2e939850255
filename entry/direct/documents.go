package direct

import (
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/entry/direct/mesh"
	"peridotchute.example/entry/direct/view"
)

// configFetchDelay is how long an entry waits before it fetches a configuration from
// a peer that has announced it. Usually the entry reads it from the store meanwhile:
// the store answers all waiting entries within one round trip between regions, or
// later when it is busy.
const configFetchDelay = 150 * time.Millisecond

// nextRead returns when this entry should next read the registrations.
func (c *coordination) nextRead(attempted, asOf time.Time) time.Time {
	return mesh.NextReading(c.name, c.mesh.Connected(), attempted, asOf)
}

// applyDocument applies a document that a peer has read from the store.
func applyDocument(w *view.Watcher, d mesh.Document, log logrus.FieldLogger) {
	if err := w.TakeDocument(view.Document(d)); err != nil {
		event.Log(log, event.DocumentFailed, event.Subject(d.Kind), event.Count(d.Version), event.Err(err))
	}
}
