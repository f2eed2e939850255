package explain

import (
	"bufio"
	"io"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
)

// maxLineBytes is the longest line that is read; no line of a decision log
// comes near it.
const maxLineBytes = 1 << 20

// process is one run of a program on a VM.
type process struct {
	node, run string
	lines     []*Line // about the request, and changes of what the process believes
	ended     []ended // all requests
	first     *Line
	last      *Line
}

// ended is the end of some request.
type ended struct {
	at    time.Duration // offset of the process
	event int
}

// Logs holds what bears on one request.
type Logs struct {
	request   string
	processes []*process
	byKey     map[[2]string]*process
	read      int // lines of decision logs
}

// NewLogs returns logs to which files are added with Read.
func NewLogs(request string) *Logs {
	return &Logs{request: request, byKey: map[[2]string]*process{}}
}

// Read adds the lines of one file. Lines that are none of a decision log are
// passed over, since collectors mix other output in.
func (s *Logs) Read(name string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := ParseLine(scanner.Text()); ok {
			s.add(l)
		}
	}
	if err := scanner.Err(); err != nil {
		return fault.New(fault.KindInvalid, "read log", name, err)
	}
	return nil
}

func (s *Logs) add(l *Line) {
	s.read++
	p := s.process(l)
	if p.first == nil {
		p.first = l
	}
	if !l.HasOffset {
		l.Offset = l.Clock.Sub(p.first.Clock) + p.first.Offset
	}
	p.last = l
	if isEnd(l.Event) {
		p.ended = append(p.ended, ended{at: l.Offset, event: l.Event})
	}
	if l.Request == "" || l.Request == s.request {
		p.lines = append(p.lines, l)
	}
}

func (s *Logs) process(l *Line) *process {
	key := [2]string{l.Node, l.Run}
	p := s.byKey[key]
	if p == nil {
		p = &process{node: l.Node, run: l.Run}
		s.byKey[key] = p
		s.processes = append(s.processes, p)
	}
	return p
}

// isEnd reports whether an event ends a request.
func isEnd(id int) bool {
	switch id {
	case event.RequestServed.ID, event.RequestLate.ID, event.RequestFailed.ID,
		event.RequestRefused.ID, event.CallerLeft.ID, event.StreamCut.ID:
		return true
	}
	return false
}
