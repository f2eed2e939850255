package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["streams"] = playStreams }

// longStream is a resumable stream of one client, over all of its tries.
type longStream struct {
	first    string // id of the request that began it
	deadline time.Time
	lastID   int
	version  string

	lastEvent time.Time

	took  int // times that it was taken up again while the entries were in touch
	went  int // of these: brought a further event
	ended bool
}

const (
	streamDeadline = 15 * time.Second

	// patience is how long a client waits for the next event: four times the objective.
	patience = 6 * time.Second
)

// open sends a request for a stream that goes on after the last event, and reads its events until
// it ends. It reports whether an event came.
func (s *longStream) open(log *record, address string) (brought bool, status int) {
	left := time.Until(s.deadline)
	id := newID()
	q := request{id: id, method: http.MethodPost, path: chatPath + "2f", body: "which fly", deadline: left, header: headerLine("model", model) + headerLine("tokens", "826,292")}
	if s.first == "" {
		s.first = id
	} else {
		q.header += "Resumes: " + s.first + "\r\nLast-Event-Id: " + strconv.Itoa(s.lastID) + "\r\n"
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false, 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(s.deadline)
	if _, err := io.WriteString(conn, q.head()+q.body); err != nil {
		return false, 0
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		return false, 0
	}
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.lastID, _ = strconv.Atoi(text)
			brought, s.lastEvent = true, time.Now()
		}
		if _, version, ok := strings.Cut(lines.Text(), " by "); ok && s.version == "" {
			s.version = version
		}
	}
	s.ended = r.StatusCode == http.StatusOK && lines.Err() == nil && s.lastID == longEvents
	log.printf("stream %s, request %s at %s: status %d, now at event %d, ended %v", s.first, id, address, r.StatusCode, s.lastID, s.ended)
	return brought, r.StatusCode
}

const (
	longEvents = 65
	longWork   = 13 * time.Second
)

// playStreams kills all entries while the store is down and workers of two software versions
// serve, and has the clients take up their streams once all is well again.
func playStreams(p *play) int {
	const (
		memoryMB = 284
		streams  = 40
		storeFor = 3300 * time.Millisecond // from its outage to its return
		killAt   = 2500 * time.Millisecond // after the begin of the outage
		downFor  = 500 * time.Millisecond
		stable   = 4 * time.Second // stable_window_ms
		resumed  = 12              // fewer are not judged
	)
	d := p.startDeployment(3, memoryMB)
	d.startVersions(p.log, 4, longEvents, longWork)
	if !p.startEntries() {
		return couldNot
	}
	time.Sleep(6 * time.Second) // both versions settle
	began := time.Now()
	if p.trouble && p.only != "kill" {
		d.store.setDown(true)
		p.log.printf("the store is down")
	}
	time.Sleep(500 * time.Millisecond)
	var wait sync.WaitGroup
	all := make([]*longStream, streams)
	touched := make(chan struct{})
	for i := range all {
		s := &longStream{deadline: time.Now().Add(streamDeadline)}
		all[i] = s
		wait.Go(func() {
			s.open(p.log, p.entries[i%len(p.entries)].caller)
			for n := i + 1; s.lastID > 0 && !s.ended && time.Until(s.deadline) > 0; n++ {
				<-touched
				if time.Since(s.lastEvent) > patience {
					return
				}
				s.took++
				brought, _ := s.open(p.log, p.entries[n%len(p.entries)].caller)
				if brought {
					s.went++
				}
				time.Sleep(400 * time.Millisecond)
			}
		})
	}
	if p.trouble {
		time.Sleep(time.Until(began.Add(killAt)))
		p.restartAll(downFor)
		time.Sleep(time.Until(began.Add(storeFor)))
		d.store.setDown(false)
		p.log.printf("the store is back")
		time.Sleep(stable + 100*time.Millisecond)
	}
	close(touched)
	begun := 0
	if p.trouble {
		p.log.printf("the entries are in touch")
		var news sync.WaitGroup
		var mu sync.Mutex
		for i := range streams {
			news.Go(func() {
				s := &longStream{deadline: time.Now().Add(1500 * time.Millisecond)}
				if brought, _ := s.open(p.log, p.entries[i%len(p.entries)].caller); brought {
					mu.Lock()
					begun++
					mu.Unlock()
				}
			})
		}
		news.Wait()
	}
	wait.Wait()
	return p.judgeStreams(all, begun, resumed)
}

// restartAll kills all entries at once and starts them again.
func (p *play) restartAll(downFor time.Duration) {
	if p.only == "store" {
		return
	}
	for _, e := range p.entries {
		p.log.printf("%s is killed", e.name)
		go e.kill()
	}
	time.Sleep(downFor)
	for _, e := range p.entries {
		e.start()
	}
}

// judgeStreams applies the rule: of those taken up again, at least half as many go on as new ones
// begin.
func (p *play) judgeStreams(all []*longStream, begun, enough int) int {
	took, went, whole, began := 0, 0, 0, 0
	versions := map[string]int{}
	for _, s := range all {
		if s.lastID > 0 {
			began++
		}
		versions[s.version]++
		if s.took > 0 {
			took++
		}
		if s.went > 0 {
			went++
		}
		if s.ended {
			whole++
		}
	}
	p.log.printf("%d streams began, by version %v; %d were taken up again in touch, and %d of these went on; %d came to their end; of %d new streams %d began",
		began, versions, took, went, whole, len(all), begun)
	switch {
	case began < len(all):
		return couldNot
	case took >= enough && 2*went*len(all) < took*begun:
		return broken
	case took == 0 && whole < len(all):
		return couldNot
	}
	return held
}
