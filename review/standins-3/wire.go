package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var rawWire []byte

// wire has the names of the platform's headers.
var wire = readWire()

type wireNames struct {
	ID        string `json:"id"`
	Deadline  string `json:"deadline"`
	Stamp     string `json:"stamp"`
	Model     string `json:"model"`
	Tokens    string `json:"tokens"`
	LastEvent string `json:"last_event"`
	Resumes   string `json:"resumes"`
}

func readWire() (names wireNames) {
	if err := json.Unmarshal(rawWire, &names); err != nil {
		panic(err)
	}
	return names
}
