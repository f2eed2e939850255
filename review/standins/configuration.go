package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed config.json
var configJSON []byte

// configuration returns the operator's configuration with a version. change may alter it.
func configuration(version int, change func(config map[string]any)) []byte {
	var config map[string]any
	if err := json.Unmarshal(configJSON, &config); err != nil {
		panic(err)
	}
	config["version"] = version
	if change != nil {
		change(config)
	}
	raw, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	return raw
}

// setConfig writes a configuration as the operator does.
func (d *deployment) setConfig(version int, change func(config map[string]any)) {
	at := d.store.put("op", "config", configuration(version, change))
	d.rec.say("the operator writes configuration %d; the store acknowledges it as version %d", version, at)
}

// route returns a route of a configuration by name.
func route(config map[string]any, name string) map[string]any {
	for _, r := range config["routes"].([]any) {
		if r := r.(map[string]any); r["name"] == name {
			return r
		}
	}
	panic("no route " + name)
}
