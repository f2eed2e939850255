package origins

import (
	"context"
	"slices"
	"time"
)

// findTimeout bounds the questions to other entries: a few round trips between regions.
const findTimeout = 300 * time.Millisecond

// Origin is what is known of the software version that began a stream.
type Origin int

// The values of Origin.
const (
	Unknown    Origin = iota // several versions are in use, or may be, and no record was found
	Known                    // the record was found
	AnyVersion               // no record is needed, as one version is in use
	Derived                  // no record exists, so that the stream began at the version that the splits give to it
)

// String returns the name of the origin in logs and metrics.
func (o Origin) String() string { return [...]string{"unknown", "known", "any", "derived"}[o] }

// Finding is the result of a search for the version that began a stream.
type Finding struct {
	Origin     Origin
	Software   string        // the version; for AnyVersion the one in use, or "" if none is
	Source     string        // where the record was found
	Splits     int           // of which streams may be in progress
	Versions   []string      // of the service, in use lately
	Unanswered int           // entries that were asked and did not answer
	Store      StoreRead     // whether the records in the store were read
	Records    int           // known from the store
	ServersAge time.Duration // age of the registrations

	revision int // of the record
}

// Sources of a record besides the names of entries.
const (
	sourceOwn   = "own record"
	sourceStore = "store"
	sourceSplit = "split"
)

// Find returns which software version began the stream of the request id with a model. If
// several versions are in use, or may be, and this entry has not made the record itself, it asks
// other entries, and reads the records in the store if they have none. If the store has none
// either, the version follows from the splits.
// With AnyVersion another version may appear before the stream goes on.
func (g *Registry) Find(ctx context.Context, service, artifact, id string) Finding {
	s := Stream{Service: service, ID: id}
	began := time.Now()
	found, known, one := g.beginFinding(s)
	if found.Origin == Known && (known.own() || one) {
		return found
	}
	if one && !g.startedLately() {
		return found.anyVersion()
	}
	if id == "" && !one {
		return found
	}
	answers := g.ask(ctx, s, known.maker)
	found.Unanswered = answers.failed
	for _, r := range answers.records {
		found.improve(r)
	}
	switch {
	case found.Origin == Known && answers.newest:
		return found
	case found.Origin == Unknown && one && !answers.several:
		return found.anyVersion()
	}
	r, ok, read := g.load(ctx, s)
	found.Store, found.Records = read, g.storedCount()
	if ok { // it may be newer than a copy
		found.improve(reply{Record: r, source: sourceStore})
	}
	if found.Origin == Unknown && read != StoreFailed {
		g.derive(ctx, s, artifact, began, &found)
	}
	return found
}

// anyVersion returns the finding for a stream that needs no record.
func (f Finding) anyVersion() Finding {
	f.Origin, f.Software = AnyVersion, ""
	if len(f.Versions) > 0 {
		f.Software = f.Versions[0]
	}
	return f
}

// improve takes over a record unless a newer one is known.
func (f *Finding) improve(r reply) {
	if f.Origin == Known && r.Revision < f.revision {
		return
	}
	f.Origin, f.Software, f.Source, f.revision = Known, r.Software, r.source, r.Revision
}

// beginFinding returns what this entry knows of the stream by itself: its record, and
// whether it is certain that one version at most is in use.
func (g *Registry) beginFinding(s Stream) (found Finding, known record, one bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	found = Finding{Versions: g.inUse(s.Service, now), ServersAge: g.list.of(now, suspendedTime())}
	found.Splits = len(g.usageOf(s.Service).splits)
	known, ok := g.table.find(s, now)
	if ok {
		found.improve(reply{Record: Record{Software: known.software, Revision: known.revision}, source: sourceOwn})
	}
	return found, known, len(found.Versions) <= 1 && g.certain(s.Service, now)
}

// startedLately reports whether other entries may know more, of streams and of versions that
// left before this entry started.
func (g *Registry) startedLately() bool { return time.Since(g.started) < recordTTL }

// reply is a record that another entry has, or the store.
type reply struct {
	Record
	source string
}

// answers are what other entries know of a stream.
type answers struct {
	records []reply
	newest  bool // one is that of the entry that made it
	several bool // an entry knows several versions
	failed  int  // entries that did not answer
	makers  []string
}

// ask asks the entries that hold copies of the record, and the one that made it if it is
// known, or becomes known by the others' answers.
func (g *Registry) ask(ctx context.Context, s Stream, maker string) (out answers) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	asked := g.candidates(s, maker)
	g.askPeers(ctx, s, asked, &out)
	if out.newest {
		return out
	}
	connected := g.opts.Peers.Connected()
	makers := slices.DeleteFunc(out.makers, func(name string) bool {
		return slices.Contains(asked, name) || !slices.Contains(connected, name)
	})
	slices.Sort(makers)
	g.askPeers(ctx, s, slices.Compact(makers), &out)
	return out
}

// askPeers asks entries for a record. It does not wait for further answers after that of the
// entry that made it.
func (g *Registry) askPeers(ctx context.Context, s Stream, peers []string, out *answers) {
	type answer struct {
		Answer
		peer string
		err  error
	}
	received := make(chan answer, len(peers))
	for _, peer := range peers {
		go func() {
			a, err := g.opts.Peers.Ask(ctx, peer, s)
			received <- answer{a, peer, err}
		}()
	}
	for range peers {
		a := <-received
		if a.err != nil {
			out.failed++
			continue
		}
		out.several = out.several || a.Several
		if !a.Found {
			continue
		}
		out.records = append(out.records, reply{Record{Stream: s, Software: a.Software, Revision: a.Revision}, a.peer})
		if a.Maker == "" {
			out.newest = true
			return
		}
		out.makers = append(out.makers, a.Maker)
	}
}

// candidates returns the entries that may have the record of a stream. The entry that
// made it may be among those connected; it made copies at copies other entries.
func (g *Registry) candidates(s Stream, maker string) []string {
	names := g.opts.Peers.Connected()
	out := holders(s, append(slices.Clone(names), g.opts.Self), copies+1)
	out = slices.DeleteFunc(out, func(name string) bool { return name == g.opts.Self })
	if maker != "" && slices.Contains(names, maker) && !slices.Contains(out, maker) {
		out = append(out, maker)
	}
	return out
}
