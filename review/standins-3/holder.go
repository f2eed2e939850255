package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"peridotchute.example/platform/platformtest"
)

func init() { cases["lost-holder"] = runLostHolder }

// The route of the streams, as of the kind route-brief of the site.
const (
	briefTimeoutMS = 5000
	briefTargetMS  = 800
	otherModel     = "m2"

	servers    = 6
	modelsEach = 3

	streams     = 24
	minResumed  = 12                      // fewer streams taken up again are not judged
	streamGap   = 3200 * time.Millisecond // after which a client abandons a stream: four times the objective
	orderTime   = 600 * time.Millisecond  // of an unload or a load; both together take the load_s of the model
	heartbeat   = 1200 * time.Millisecond
	holderDark  = 3500 * time.Millisecond // node_kill, power leader
	serverDown  = 4100 * time.Millisecond // srv_crash
	resumeTries = 4
)

// streamState is what a client has of one stream.
type streamState struct {
	first     string // attempt that brought the first event
	lastEvent string
	lastAt    time.Time
	complete  bool
	resumed   bool // the client has taken it up again
	goesOn    bool // and got a further event
}

// runLostHolder has the entry that holds the orders lease lose power, and the only server that has
// loaded a model crash. Clients take up the streams that break.
func runLostHolder(r *run) bool {
	only := os.Getenv("ONLY")
	d, owner := r.deployModels()
	entries := r.startEntries(d, "edge-1", "edge-2", "edge-3")
	var holder *entry
	r.waitFor("an entry holds the lease", 15*time.Second, func() bool {
		for _, e := range entries {
			if e.holdsLease() {
				holder = e
			}
		}
		return holder != nil
	})
	time.Sleep(5 * time.Second) // all are in touch
	r.note("%s holds the lease", holder.name)
	var others []*entry
	for _, e := range entries {
		if e != holder || only == "crash" {
			others = append(others, e)
		}
	}
	var restart sync.WaitGroup
	if r.trouble && only != "crash" {
		r.note("%s loses power", holder.name)
		holder.kill()
		restart.Go(func() {
			time.Sleep(holderDark)
			holder.launch()
		})
	}
	owner.PauseBefore(3)
	states := make([]streamState, streams)
	var clients sync.WaitGroup
	for i := range states {
		clients.Go(func() { r.follow(&states[i], others, i) })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	if r.trouble && only != "kill" {
		r.note("server %s crashes", owner.ID())
		id := owner.ID()
		owner.Stop()
		time.AfterFunc(3*heartbeat, func() { d.store.Deregister(id) })
		time.AfterFunc(serverDown, func() { owner.Restart("") })
	} else {
		owner.Resume()
	}
	begun, asked := r.newStreams(others)
	clients.Wait()
	restart.Wait()
	r.noteServers(d)
	resumed, goOn := 0, 0
	for i := range states {
		s := &states[i]
		r.note("stream %s: resumed %v, goes on %v, complete %v, last event %s", s.first, s.resumed, s.goesOn, s.complete, s.lastEvent)
		if s.resumed {
			resumed++
		}
		if s.resumed && s.goesOn {
			goOn++
		}
	}
	r.note("%d of %d streams that clients took up again go on; %d of %d new ones begin", goOn, resumed, begun, asked)
	return resumed >= minResumed && asked > 0 && float64(goOn)/float64(resumed) < float64(begun)/float64(asked)/2
}

// noteServers writes what the servers got and ran, and which orders they got.
func (r *run) noteServers(d *deployment) {
	for _, e := range d.engines {
		for _, o := range e.Orders() {
			r.note("server %s: order to %s %s, answered %d", e.ID(), o.Op, o.Model, o.Status)
		}
		for _, q := range e.Requests() {
			r.note("server %s: request %s for %s, events after %q, ran it: %v", e.ID(), q.ID, q.Header.Get(wire.Model), q.Header.Get(wire.LastEvent), q.Executed)
		}
	}
}

// deployModels starts six model servers of one software version, each with as many models as it
// has room for, and each model at one of them. The returned one has loaded model.
func (r *run) deployModels() (*deployment, *platformtest.Engine) {
	c := configuration()
	spec := c.Services[1].Engine
	spec.Models = nil
	for i := range servers * modelsEach {
		spec.Models = append(spec.Models, platformtest.Model{Name: fmt.Sprintf("m%d", i+1), WeightsMB: 72700, LoadS: 1.2, WarmS: 0.4, DiskS: 0.52})
	}
	briefs := &c.Routes[2]
	briefs.TimeoutMS, briefs.TargetMS = briefTimeoutMS, briefTargetMS
	d := &deployment{store: platformtest.NewStore(tb{r: r})}
	d.store.SetConfig(c)
	for i := range servers {
		var loaded []string
		for j := range modelsEach {
			loaded = append(loaded, spec.Models[i+j*servers].Name)
		}
		e := platformtest.NewEngine(tb{r: r}, platformtest.EngineWorkerSpec{Service: engineService, Zone: zone, Engine: *spec, Loaded: loaded, Load: orderTime})
		e.Attach(d.store)
		d.engines = append(d.engines, e)
	}
	return d, d.engines[0]
}

// holdsLease reports whether the entry says in its metrics that it gives orders.
func (e *entry) holdsLease() bool {
	resp, err := http.Get("http://" + e.metrics + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return err == nil && strings.Contains(string(raw), "\nperidotchute_lease_held 1\n")
}

// newStreams sends streams of the other model while the broken ones are taken up, and returns how
// many bring an event.
func (r *run) newStreams(entries []*entry) (begun, asked int) {
	var mu sync.Mutex
	var sending sync.WaitGroup
	for i := range 30 {
		sending.Go(func() {
			var s streamState
			r.attempt(&s, entries[i%len(entries)], newID(), otherModel)
			mu.Lock()
			defer mu.Unlock()
			asked++
			if s.lastEvent != "" {
				begun++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	sending.Wait()
	return begun, asked
}

// follow reads a stream, and takes it up again at another entry each time that it breaks off, until
// it is complete or the client abandons it.
func (r *run) follow(s *streamState, entries []*entry, number int) {
	began := time.Now()
	s.lastAt = began
	for try := range resumeTries + 1 {
		left := min(time.Until(began.Add(briefTimeoutMS*time.Millisecond)), time.Until(s.lastAt.Add(streamGap)))
		if left <= 0 || s.complete {
			return
		}
		s.resumed = s.resumed || try > 0
		id := newID()
		status, after := r.attempt(s, entries[(number+try)%len(entries)], id, model)
		r.note("stream %d, try %d as %s: %d, last event %q", number, try+1, id, status, s.lastEvent)
		if s.lastEvent == "" {
			s.first = ""
		}
		time.Sleep(min(after, left/3))
	}
}

// attempt sends one request for a stream and reads its events. after is the time that the answer
// asks the client to wait.
func (r *run) attempt(s *streamState, e *entry, id, model string) (status int, after time.Duration) {
	before := s.lastEvent
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	silence := time.AfterFunc(streamGap, cancel)
	defer silence.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.address+streamPrefix+"x", strings.NewReader("prompt"))
	if err != nil {
		r.fail("%v", err)
	}
	req.Host = host
	req.Header.Set(wire.ID, id)
	req.Header.Set(wire.Deadline, strconv.Itoa(briefTimeoutMS))
	req.Header.Set(wire.Model, model)
	req.Header.Set(wire.Tokens, "2890,50")
	if before != "" {
		req.Header.Set(wire.LastEvent, before)
		req.Header.Set(wire.Resumes, s.first)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		after = time.Duration(seconds * float64(time.Second))
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, after
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		value, isID := strings.CutPrefix(lines.Text(), "id:")
		if !isID {
			continue
		}
		if s.lastEvent == "" {
			s.first = id
		}
		s.lastEvent, s.lastAt = strings.TrimSpace(value), time.Now()
		s.goesOn = s.goesOn || before != ""
		silence.Reset(streamGap)
	}
	s.complete = lines.Err() == nil
	return resp.StatusCode, after
}
