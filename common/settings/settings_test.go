package settings

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

type listener struct {
	Name    string `json:"name" validate:"required"`
	Address string `json:"address" validate:"required,ip_port"`
}

type file struct {
	Listeners []listener `json:"listeners" validate:"required,dive"`
	Limit     int        `json:"limit" validate:"gte=0"`
}

func TestProblemsNameFileLineAndField(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{
			name: "valid with comments",
			text: "{ // comment\n\"listeners\": [{\"name\": \"a\", \"address\": \"127.0.0.1:1\"},],\n}",
		},
		{
			name: "unknown field",
			text: "{\"listeners\": [\n{\"name\": \"a\",\n\"adress\": \"127.0.0.1:1\", \"address\": \"127.0.0.1:1\"}]}",
			want: []string{`f.json:3: field "listeners[0].adress": unknown field (remove it or correct its name)`},
		},
		{
			name: "bad address of the second listener",
			text: "{\"listeners\": [\n{\"name\": \"a\", \"address\": \"127.0.0.1:1\"},\n{\"name\": \"b\",\n\"address\": \"host:1\"}]}",
			want: []string{`f.json:4: field "listeners[1].address": "host:1" is not an address of the form IP:port (give an address such as 10.0.0.7:8080)`},
		},
		{
			name: "missing key of the second listener",
			text: "{\"listeners\": [\n{\"name\": \"a\", \"address\": \"127.0.0.1:1\"},\n{\"address\": \"127.0.0.1:2\"}]}",
			want: []string{`f.json:3: field "listeners[1].name": missing (add it)`},
		},
		{
			name: "everything at once",
			text: "{\"listeners\": [\n{\"address\": \"x\"}],\n\"limit\": -1,\n\"limits\": 3}",
			want: []string{
				`f.json:4: field "limits": unknown field (remove it or correct its name)`,
				`f.json:2: field "listeners[0].name": missing (add it)`,
				`f.json:2: field "listeners[0].address": "x" is not an address of the form IP:port (give an address such as 10.0.0.7:8080)`,
				`f.json:3: field "limit": -1 breaks the rule gte=0 (give a value that keeps the rule)`,
			},
		},
		{
			name: "key twice",
			text: "{\"listeners\": [{\"name\": \"a\", \"address\": \"127.0.0.1:1\"}],\n\"limit\": 1,\n\"limit\": 2}",
			want: []string{`f.json:3: field "limit": occurs twice in one object (remove one of the two)`},
		},
		{
			name: "wrong type",
			text: "{\"listeners\": [],\n\"limit\": \"many\"}",
			want: []string{`f.json:2: field "limit": want int, have string (give a value of type int)`},
		},
		{
			name: "syntax",
			text: "{\n\"listeners\" []}",
			want: []string{`f.json:2: hujson: line 2, column 13: invalid character '[' after object name (correct the syntax)`},
		},
		{
			name: "too deep, with brackets in strings",
			text: strings.Repeat(`["]",`, maxDepth+1),
			want: []string{`f.json: nested deeper than 1000 (correct the syntax)`},
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var target file
			err := Decode("f.json", []byte(tc.text), &target)
			if len(tc.want) == 0 {
				assert.NilError(t, err)
				return
			}
			var bad *Error
			assert.Assert(t, errors.As(err, &bad))
			assert.Equal(t, err.Error(), strings.Join(tc.want, "\n"))
		})
	}
}

func TestMissingFileIsNamed(t *testing.T) {
	_, err := Load[file]("/nonexistent/f.json")
	assert.ErrorContains(t, err, "/nonexistent/f.json")
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"listeners": [{"name": "a", "address": "127.0.0.1:1"}]}`))
	f.Add([]byte("{ // comment\n\"limit\": 1, \"limit\": 2, \"x\": [{}],}"))
	f.Add([]byte(`{"listeners": [{"Name": 1}, null]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var target file
		err := Decode("f.json", raw, &target)
		if err == nil {
			assert.Assert(t, target.Listeners != nil)
			return
		}
		var bad *Error
		assert.Assert(t, errors.As(err, &bad))
		assert.Assert(t, len(bad.Problems) > 0)
		lines := strings.Count(string(raw), "\n") + 1
		for _, p := range bad.Problems {
			assert.Assert(t, p.Line >= 0 && p.Line <= lines, p.String())
		}
	})
}
