// Package server runs the stand-ins as one process, each on its own address.
package server

// Settings are the stand-in process's settings file. An empty address leaves
// that stand-in out.
type Settings struct {
	TableAddress   string          `json:"table_address,omitempty" validate:"omitempty,ip_port"`
	ObjectAddress  string          `json:"object_address,omitempty" validate:"omitempty,ip_port"`
	VMListAddress  string          `json:"vm_list_address,omitempty" validate:"omitempty,ip_port"`
	VMListLagMS    int             `json:"vm_list_lag_ms,omitempty" validate:"gte=0"`
	WeightsAddress string          `json:"weights_address,omitempty" validate:"omitempty,ip_port"`
	Engines        []EngineSetting `json:"engines,omitempty" validate:"dive"`
	Plain          []PlainSetting  `json:"plain,omitempty" validate:"dive"`
}

// EngineSetting describes one model engine.
type EngineSetting struct {
	Name        string  `json:"name" validate:"required"`
	Address     string  `json:"address" validate:"required,ip_port"`
	MemoryBytes int64   `json:"memory_bytes" validate:"gt=0"`
	Fencing     bool    `json:"fencing,omitempty"`
	TimeScale   float64 `json:"time_scale,omitempty" validate:"gte=0"` // 1 is real time, smaller is faster; 0 means no delays
}

// PlainSetting describes one plain service.
type PlainSetting struct {
	Name    string `json:"name" validate:"required"`
	Address string `json:"address" validate:"required,ip_port"`
}
