package explain

import (
	"bufio"
	"io"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
)

// maxLineBytes limits the length of a line; lines of decision logs are much
// shorter.
const maxLineBytes = 1 << 20

// process is the log of one run of a program on a VM.
type process struct {
	node, run string
	lines     []*Line      // about the request, or about no request, such as changes of servers
	ends      []requestEnd // of all requests in the log
	first     *Line
	last      *Line
}

// requestEnd is the time and the final event of a request.
type requestEnd struct {
	at    time.Duration // since the start of the process
	event int
}

// Logs collects the log lines of all processes that can concern one request.
type Logs struct {
	request   string
	processes []*process
	byKey     map[[2]string]*process // by node and run
	lineCount int                    // number of decision log lines read
}

// NewLogs returns empty logs for a request. Use Read to add files.
func NewLogs(request string) *Logs {
	return &Logs{request: request, byKey: map[[2]string]*process{}}
}

// Read adds the lines of one file. It skips lines that are not from a decision
// log, since collectors mix in other output.
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
	s.lineCount++
	p := s.process(l)
	if p.first == nil {
		p.first = l
	}
	if !l.HasOffset {
		l.Offset = l.Clock.Sub(p.first.Clock) + p.first.Offset
	}
	p.last = l
	if isTerminal(l.Event) {
		p.ends = append(p.ends, requestEnd{at: l.Offset, event: l.Event})
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

// isTerminal reports whether an event ends a request.
func isTerminal(id int) bool {
	switch id {
	case event.RequestServed.ID, event.RequestLate.ID, event.RequestFailed.ID,
		event.RequestRefused.ID, event.KeyUnknown.ID, event.OverQuota.ID, event.CallerLeft.ID, event.StreamCut.ID:
		return true
	}
	return false
}
