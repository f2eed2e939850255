package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesJSON []byte

// names are the platform's names of headers, paths and fields.
var names = func() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(namesJSON, &out); err != nil {
		panic(err)
	}
	return out
}()
