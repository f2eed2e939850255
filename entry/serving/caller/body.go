package caller

import "encoding/json"

// inferenceBody holds what the entry reads of an inference request.
type inferenceBody struct {
	model  string
	stream bool
	tools  []string        // names of the offered tools and functions
	prompt json.RawMessage // text that the engine's prefix cache keeps
}

// object is a JSON object whose keys are matched exactly. Decoding into a
// struct would take "Tools" for "tools" as well, which engines do not: the
// entry must see the same request as the engine.
type object map[string]json.RawMessage

// get decodes the value of a key when there is one.
func (o object) get(key string, into any) error {
	raw, ok := o[key]
	if !ok {
		return nil
	}
	return json.Unmarshal(raw, into)
}

func parseInference(raw []byte) (inferenceBody, error) {
	var o object
	var b inferenceBody
	if err := json.Unmarshal(raw, &o); err != nil {
		return b, err
	}
	if err := o.get("model", &b.model); err != nil {
		return b, err
	}
	if err := o.get("stream", &b.stream); err != nil {
		return b, err
	}
	b.prompt = o["messages"]
	if b.prompt == nil {
		b.prompt = o["prompt"]
	}
	var err error
	b.tools, err = toolNames(o)
	return b, err
}

// toolNames returns the names in tools, and in functions, their older form.
func toolNames(o object) ([]string, error) {
	var tools, named []object
	if err := o.get("tools", &tools); err != nil {
		return nil, err
	}
	if err := o.get("functions", &named); err != nil {
		return nil, err
	}
	for _, t := range tools {
		for _, kind := range []string{"function", "custom"} {
			var described object
			if err := t.get(kind, &described); err != nil {
				return nil, err
			}
			named = append(named, described)
		}
	}
	var out []string
	for _, described := range named {
		var name string
		if err := described.get("name", &name); err != nil {
			return nil, err
		}
		if name != "" {
			out = append(out, name)
		}
	}
	return out, nil
}
