package view

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"slices"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/fleet"
)

// Kinds of shared documents.
const (
	KindConfig  = "config"  // Body is the raw configuration, Version is its version
	KindServers = "servers" // Body is an encoded sharedServers, Version is the encoded store position of the read
)

const (
	stepApply = "view.take"

	// maxServersBytes limits the size of a decompressed list: a thousand
	// servers take about 400 bytes each.
	maxServersBytes = 8 << 20

	// maxSharedUnreadable limits the keys of unreadable rows in a list, which other
	// entries log.
	maxSharedUnreadable = 1000
)

// Document is data that an entry read from the platform's store and shares with
// the other entries.
type Document struct {
	Kind    string
	Version int64
	Body    []byte
	Age     time.Duration // time since it was requested from the store
	Peer    string        // entry that sent it; empty if this entry read it from the store
}

// sharedServers is the body of a KindServers document, encoded as compressed
// JSON because traffic between regions is expensive. Times are sent as
// durations, which don't depend on the clocks of the entries.
type sharedServers struct {
	Servers     []fleet.Server // as in the sender's view, including those that it keeps without a registration
	Unreadable  []string       `json:",omitempty"`
	OutageEnded *time.Duration `json:",omitempty"` // time between the end of the last store outage, or the sender's first read, and the read of Servers; nil if more than outageGrace
	Outage      time.Duration  `json:",omitempty"` // length of that outage; 0 if unknown
}

// OnRead sets the function that is called with each newer document read from
// the store. It must be called before the Run methods, and f must not block.
func (w *Watcher) OnRead(f func(Document)) { w.share = f }

// ApplyDocument applies a document of another entry unless it is older than the
// known state. It returns an error of KindInvalid for an unknown kind or
// malformed list.
func (w *Watcher) ApplyDocument(d Document) error {
	switch d.Kind {
	case KindConfig:
		return w.applyConfigDocument(d)
	case KindServers:
		return w.applyServersDocument(d)
	}
	return fault.Newf(fault.KindInvalid, stepApply, "", "unknown document kind %q", d.Kind)
}

func (w *Watcher) applyConfigDocument(d Document) error {
	if c := w.Current().Config; c != nil && c.Version >= d.Version {
		return nil
	}
	c, err := w.directory.DecodeConfig(d.Body)
	if err != nil {
		return err
	}
	if w.Apply(c, d.Peer) {
		w.renewMissedWait()
	}
	return nil
}

func (w *Watcher) applyServersDocument(d Document) error {
	list, err := decodeServers(d.Body)
	if err != nil {
		return err
	}
	read := time.Now().Add(-d.Age)
	w.checkWait(read)
	w.recordPeerRead(d.Peer, read, list.outage(read))
	servers := subtractAge(list.registered(w.Current().ServersRead.IsZero()), d.Age)
	w.ApplyServers(fleet.Registry{Servers: servers, Unreadable: list.Unreadable, Position: fleet.PositionOf(d.Version)}, read, d.Peer)
	return nil
}

// outage returns the last store outage known to the sender of a list that it read at the
// given time, or zero.
func (list *sharedServers) outage(read time.Time) outage {
	if list.OutageEnded == nil {
		return outage{}
	}
	last := outage{end: read.Add(-*list.OutageEnded)}
	if list.Outage > 0 {
		last.start = last.end.Add(-list.Outage)
	}
	return last
}

// registered returns the servers that have a registration and, withKept, those that the sender
// keeps without one. Any entry decides itself which of the servers that it knew before it
// keeps.
func (list *sharedServers) registered(withKept bool) []fleet.Server {
	if withKept {
		return list.Servers
	}
	return slices.DeleteFunc(list.Servers, func(s fleet.Server) bool { return s.Kept })
}

// subtractAge subtracts the age of the list from the remaining times of the
// servers. It changes and returns the given slice.
func subtractAge(servers []fleet.Server, age time.Duration) []fleet.Server {
	for i := range servers {
		s := &servers[i]
		s.Cold = max(s.Cold-age, 0)
		if s.Remaining > 0 {
			s.Remaining = max(s.Remaining-age, time.Millisecond) // 0 would mean unknown
		}
	}
	return servers
}

// shareServers shares the servers of the view that resulted from reading reg.
func (w *Watcher) shareServers(v *fleet.View, reg fleet.Registry) {
	list := sharedServers{Servers: v.Servers, Unreadable: reg.Unreadable[:min(len(reg.Unreadable), maxSharedUnreadable)]}
	w.mu.Lock()
	if ended := v.ServersRead.Sub(w.reads.since); ended < outageGrace {
		list.OutageEnded = &ended
		if o := &w.reads.outage; o.end.Equal(w.reads.since) && !o.start.IsZero() {
			list.Outage = o.end.Sub(o.start)
		}
	}
	w.mu.Unlock()
	body, err := encodeServers(list)
	if err != nil {
		event.Log(w.logger, event.DocumentFailed, event.Subject(KindServers), event.Err(err))
		return
	}
	w.share(Document{Kind: KindServers, Version: reg.Position.Number(), Body: body, Age: time.Since(v.ServersRead)})
}

// encodeServers returns an error if the list is longer than decodeServers accepts. Each entry
// then reads the registrations itself.
func encodeServers(list sharedServers) ([]byte, error) {
	raw, err := json.Marshal(list)
	if err != nil {
		return nil, err
	}
	if len(raw) > maxServersBytes {
		return nil, fault.Newf(fault.KindInvalid, "view.share", KindServers, "%d bytes are too many", len(raw))
	}
	var b bytes.Buffer
	z, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := z.Write(raw); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func decodeServers(body []byte) (sharedServers, error) {
	var list sharedServers
	z := flate.NewReader(bytes.NewReader(body))
	if err := json.NewDecoder(io.LimitReader(z, maxServersBytes)).Decode(&list); err != nil {
		return list, fault.New(fault.KindInvalid, stepApply, KindServers, err)
	}
	return list, nil
}
