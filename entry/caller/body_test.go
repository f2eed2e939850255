package caller

import (
	"encoding/json"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/config"
)

func TestActionIsSeenAsTheEngineSeesIt(t *testing.T) {
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
