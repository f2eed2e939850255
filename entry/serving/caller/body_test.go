package caller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/config"
)

func TestActionDetectionMatchesEngine(t *testing.T) {
	model := config.Model{Tools: []string{"charge"}}
	tests := []struct {
		name, body string
		action     bool
	}{
		{"tool", `{"tools": [{"function": {"name": "charge"}}]}`, true},
		{"escaped name", `{"tools": [{"function": {"name": "ch\u0061rge"}}]}`, true},
		{"function", `{"functions": [{"name": "charge"}]}`, true},
		{"custom tool", `{"tools": [{"type": "custom", "custom": {"name": "charge"}}]}`, true},
		{"other spelling of tools", `{"tools": [{"function": {"name": "charge"}}], "Tools": []}`, true},
		{"other spelling of function", `{"tools": [{"function": {"name": "charge"}, "FUNCTION": {"name": "slots"}}]}`, true},
		{"other spelling of name", `{"tools": [{"function": {"name": "charge", "Name": "slots"}}]}`, true},
		{"only another spelling", `{"Tools": [{"function": {"name": "charge"}}]}`, false},
		{"other tool", `{"tools": [{"function": {"name": "slots"}}]}`, false},
		{"none", `{"tools": null}`, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			body, err := parseInference([]byte(tc.body))
			assert.NilError(t, err)
			assert.Equal(t, usesAction(model, body.tools), tc.action)
		})
	}
}

func TestDeadlineFromHeader(t *testing.T) {
	tests := []struct {
		header string
		want   time.Duration
	}{
		{"", config.DefaultDeadline},
		{"1500", 1500 * time.Millisecond},
		{"-1", config.DefaultDeadline},
		{"soon", config.DefaultDeadline},
		{"9223372036854775807", maxDeadline},
	}
	for _, tc := range tests {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r.Header.Set(headerTimeout, tc.header)
		before := time.Now()
		got := deadline(r, config.Policy{})
		assert.Assert(t, !got.Before(before.Add(tc.want)) && !got.After(time.Now().Add(tc.want)), "%q: %v", tc.header, got.Sub(before))
	}
}

func FuzzInferenceBody(f *testing.F) {
	f.Add([]byte(`{"model": "a", "MODEL": "b", "stream": true, "messages": [], "tools": [{"function": {"name": "n"}}]}`))
	f.Add([]byte(`{"prompt": "p", "functions": [{"name": null}], "tools": [null, {}]}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, err := parseInference(raw)
		if err != nil {
			return
		}
		var exact map[string]any
		assert.NilError(t, json.Unmarshal(raw, &exact))
		model, _ := exact["model"].(string)
		assert.Equal(t, body.model, model)
		assert.Assert(t, !slices.Contains(body.tools, ""))
	})
}
