package main

import (
	_ "embed" // for the data files
	"encoding/json"
)

// The platform's names stand in data files: in the project's Go files they belong to one package.

//go:embed wire.json
var wireFile []byte

//go:embed settings.json
var settingsFile []byte

//go:embed config.json
var configFile []byte

// wireNames are the platform's names.
type wireNames struct {
	Headers  map[string]string `json:"headers"`
	Calls    map[string]string `json:"calls"`
	Fields   map[string]string `json:"fields"`
	Settings map[string]string `json:"settings"`
}

var wire = decode[wireNames](wireFile)

func decode[T any](raw []byte) T {
	var out T
	check(json.Unmarshal(raw, &out))
	return out
}

// headerLine returns a line of a request's head.
func headerLine(header, value string) string { return wire.Headers[header] + ": " + value + "\r\n" }
