package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/entry/direct/exchange"
	"peridotchute.example/entry/direct/membudget"
)

const (
	smallVM      = 184 << 20 // bytes of memory of the smallest VM that entries have
	heldAnswers  = 256
	heldBytes    = 1_000_000 // below the limit of an event
	maxHeapBytes = smallVM / 4 * 3
)

// heldBody is the body of an answer that stays open after its bytes. held counts such bodies
// that have been read.
type heldBody struct {
	io.Reader
	held   *atomic.Int64
	closed chan struct{}
}

func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.held.Add(1)
		<-b.closed
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// holdAnswers reads answers of servers that stay open below their limits, by read, and returns the
// heap that they take together once each of them is held or was cut for lack of memory.
func holdAnswers(t *testing.T, data []byte, read func(server int, body io.Reader) error) (heap uint64, cut int64) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var held, short atomic.Int64
	closed := make(chan struct{})
	ended := make(chan struct{}, heldAnswers)
	for i := range heldAnswers {
		go func() {
			var e *membudget.ShortError
			if errors.As(read(i%3, &heldBody{Reader: bytes.NewReader(data), held: &held, closed: closed}), &e) {
				short.Add(1)
			}
			ended <- struct{}{}
		}()
	}
	for held.Load()+short.Load() < heldAnswers {
		runtime.Gosched()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	close(closed)
	for range heldAnswers {
		<-ended
	}
	return after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc), short.Load()
}

var faultyServers = []string{"s1", "s2", "s3"}

// TestEventsBelowTheirLimitFillTheMemory has three servers leave events of many streams
// unfinished, each below the limit of an event.
func TestEventsBelowTheirLimitFillTheMemory(t *testing.T) {
	memory := membudget.New(smallVM)
	heap, cut := holdAnswers(t, bytes.Repeat([]byte("data: x\n"), heldBytes/8), func(server int, body io.Reader) error {
		s := NewStream(httptest.NewRecorder(), testFormat, "")
		s.Charge(memory.Server(faultyServers[server]))
		defer s.Release()
		return s.Copy(body, func() error { return nil }, func() {}, func() {})
	})
	assert.Assert(t, heap <= maxHeapBytes, "%d MB", heap>>20)
	assert.Assert(t, cut > 0 && cut < heldAnswers, "%d of %d cut", cut, heldAnswers)
	assert.Equal(t, memory.State().Held, int64(0))
}

// TestAnswersBelowTheirLimitFillTheMemory does the same with whole answers, and with answers
// that another server begins.
func TestAnswersBelowTheirLimitFillTheMemory(t *testing.T) {
	data := bytes.Repeat([]byte("x"), maxBufferedBytes-1)
	memory := membudget.New(smallVM)
	for name, read := range map[string]func(server int, body io.Reader) error{
		"whole": func(server int, body io.Reader) error {
			h, err := Buffer(&exchange.Response{Body: io.NopCloser(body)}, "", memory.Server(faultyServers[server]))
			h.Release()
			return err
		},
		"begun": func(server int, body io.Reader) error {
			return Begin(&exchange.Response{Body: io.NopCloser(body)}, memory.Server(faultyServers[server]), nil, "")
		},
	} {
		t.Run(name, func(t *testing.T) {
			heap, cut := holdAnswers(t, data, read)
			assert.Assert(t, heap <= maxHeapBytes/4, "%d MB", heap>>20)
			assert.Assert(t, cut > 0 && cut < heldAnswers, "%d of %d cut", cut, heldAnswers)
			assert.Equal(t, memory.State().Held, int64(0))
		})
	}
}
