package dispatch

import (
	"expvar"
	"io"
)

var (
	counters  = expvar.NewMap("dispatch")
	linkBytes = new(expvar.Int) // carried between regions, bodies both ways
)

func init() { counters.Set("link_bytes", linkBytes) }

// counted counts what is read from a body that came over the link between
// regions.
type counted struct {
	io.ReadCloser
}

// Read reads and counts.
func (c counted) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	linkBytes.Add(int64(n))
	return n, err
}
