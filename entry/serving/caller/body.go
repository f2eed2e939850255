package caller

import "encoding/json"

// inferenceBody holds the fields of an inference request that the entry uses.
type inferenceBody struct {
	model  string
	stream bool
	tools  []string        // names of the offered tools and functions
	prompt json.RawMessage // the text that the engine's prefix cache covers
}

// object is a JSON object with case-sensitive keys. Decoding into a struct would
// also accept "Tools" for "tools". Engines don't, and the entry must
// interpret a request as the engine does.
type object map[string]json.RawMessage

// get decodes the value of a key. A missing key leaves into unchanged.
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

// toolNames returns the names of the tools in "tools" and of the functions in the
// older field "functions".
func toolNames(o object) ([]string, error) {
	var tools, functions []object
	if err := o.get("tools", &tools); err != nil {
		return nil, err
	}
	if err := o.get("functions", &functions); err != nil {
		return nil, err
	}
	for _, t := range tools {
		for _, kind := range []string{"function", "custom"} {
			var function object
			if err := t.get(kind, &function); err != nil {
				return nil, err
			}
			functions = append(functions, function)
		}
	}
	var out []string
	for _, function := range functions {
		var name string
		if err := function.get("name", &name); err != nil {
			return nil, err
		}
		if name != "" {
			out = append(out, name)
		}
	}
	return out, nil
}
