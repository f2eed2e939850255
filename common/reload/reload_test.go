package reload

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFileIsParsedAgainAfterAChange(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n")
	write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }
	parse := func() (int, error) {
		raw, err := os.ReadFile(path)
		if err != nil {
			return 0, err
		}
		return strconv.Atoi(string(raw))
	}
	_, err := New(parse, path)
	assert.ErrorContains(t, err, "no such file")

	write("1")
	v, err := New(parse, path)
	assert.NilError(t, err)
	clock := time.Now()
	v.now = func() time.Time { return clock }
	getAfterInterval := func() int { clock = clock.Add(Interval); return v.Get() }

	write("22")
	assert.Equal(t, getAfterInterval(), 22)
	write("bad")
	assert.Equal(t, getAfterInterval(), 22)
	assert.ErrorContains(t, v.Err(), "invalid syntax")
	write("4444")
	assert.Equal(t, v.Get(), 22, "checked before the interval had passed")
	assert.Equal(t, getAfterInterval(), 4444)
	assert.NilError(t, v.Err())
}
