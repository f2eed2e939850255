package wire

import (
	"testing"

	"gotest.tools/v3/assert"
)

func FuzzParseClaim(f *testing.F) {
	f.Add("1;inc;team/key")
	f.Add("0;;")
	f.Add("2;inc;a;b")
	f.Fuzz(func(t *testing.T, s string) {
		c, err := ParseClaim(s)
		if err != nil {
			return
		}
		assert.Assert(t, c.Attempt >= 1 && c.Incarnation != "" && c.Key != "")
		parsed, err := ParseClaim(c.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, c)
	})
}

func FuzzParseArtifact(f *testing.F) {
	f.Add("model/fly@1")
	f.Add("adapter/a/b@c@2")
	f.Add("model/@1")
	f.Fuzz(func(t *testing.T, s string) {
		a, err := ParseArtifact(s)
		if err != nil {
			return
		}
		assert.Equal(t, a.String(), s)
	})
}

func FuzzParseLoad(f *testing.F) {
	f.Add("3 250 inc")
	f.Add("-1 9223372036854775807 x")
	f.Add("1 2")
	f.Fuzz(func(t *testing.T, s string) {
		l, err := ParseLoad(s)
		if err != nil {
			return
		}
		assert.Assert(t, l.InFlight >= 0 && l.QueueDelay >= 0, "%+v", l)
		parsed, err := ParseLoad(l.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed, l)
	})
}
