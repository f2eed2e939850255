package view

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/fleet"
)

// Kinds of documents that entries share.
const (
	KindConfig  = "config"  // as it was written; Version is that of the configuration
	KindServers = "servers" // Version is the position at which they were read
)

const (
	stepTake = "view.take"

	// maxServersBytes bounds a list once it is decompressed: a thousand servers
	// take about 400 bytes each.
	maxServersBytes = 8 << 20
)

// Document is what an entry has read from the platform's store, to be shared
// with entries that have not.
type Document struct {
	Kind    string
	Version int64
	Body    []byte
	Age     time.Duration // since the store was asked for it
}

// sharedServers is the body of a KindServers document, as compressed JSON:
// bytes between regions are dear. Times travel as durations.
type sharedServers struct {
	Servers     []fleet.Server // as the sender knows them, those in the grace of an outage included
	Unreadable  []string       `json:",omitempty"`
	OutageEnded *time.Duration `json:",omitempty"` // before the list was read; left out once the grace is over
}

// OnRead registers a function that is called with each newer document that was
// read from the store. It is called before the duties start, and must not block.
func (w *Watcher) OnRead(f func(Document)) { w.share = f }

// TakeDocument applies a document that another entry has read, unless it is
// older than what is known.
func (w *Watcher) TakeDocument(d Document) error {
	switch d.Kind {
	case KindConfig:
		return w.takeConfig(d)
	case KindServers:
		return w.takeServers(d)
	}
	return fault.Newf(fault.KindInvalid, stepTake, "", "kind %q of document is not known", d.Kind)
}

func (w *Watcher) takeConfig(d Document) error {
	if c := w.Current().Config; c != nil && c.Version >= d.Version {
		return nil
	}
	c, err := w.directory.DecodeConfig(d.Body)
	if err != nil {
		return err
	}
	w.Apply(c)
	return nil
}

func (w *Watcher) takeServers(d Document) error {
	list, err := decodeServers(d.Body)
	if err != nil {
		return err
	}
	read := time.Now().Add(-d.Age)
	var outageEnd time.Time
	if list.OutageEnded != nil {
		outageEnd = read.Add(-*list.OutageEnded)
	}
	w.heard(read, outageEnd)
	w.Take(fleet.Registry{Servers: aged(list.Servers, d.Age), Unreadable: list.Unreadable, Position: d.Version}, read)
	return nil
}

// aged returns the servers with their remaining times as they are now.
func aged(servers []fleet.Server, age time.Duration) []fleet.Server {
	for i := range servers {
		s := &servers[i]
		s.Cold = max(s.Cold-age, 0)
		if s.Remaining > 0 {
			s.Remaining = max(s.Remaining-age, time.Millisecond) // 0 would mean not told
		}
	}
	return servers
}

// shareServers shares the servers of a view that follows from a reading.
func (w *Watcher) shareServers(v *fleet.View, reg fleet.Registry) {
	list := sharedServers{Servers: v.Servers, Unreadable: reg.Unreadable}
	w.mu.Lock()
	if w.inGrace() {
		ended := v.ServersRead.Sub(w.outageEnd)
		list.OutageEnded = &ended
	}
	w.mu.Unlock()
	body, err := encodeServers(list)
	if err != nil {
		event.Log(w.logger, event.DocumentFailed, event.Subject(KindServers), event.Err(err))
		return
	}
	w.share(Document{Kind: KindServers, Version: reg.Position, Body: body, Age: time.Since(v.ServersRead)})
}

func encodeServers(list sharedServers) ([]byte, error) {
	var b bytes.Buffer
	z, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(z).Encode(list); err != nil {
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
		return list, fault.New(fault.KindInvalid, stepTake, KindServers, err)
	}
	return list, nil
}
