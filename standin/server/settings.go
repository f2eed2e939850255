// Package server runs the stand-ins in one process, each on its own address.
package server

// Settings is the content of the settings file of the stand-in process. A
// stand-in with an empty address is not started.
type Settings struct {
	AdminAddress   string          `json:"admin_address,omitempty" validate:"omitempty,ip_port"`
	TableAddress   string          `json:"table_address,omitempty" validate:"omitempty,ip_port"`
	ObjectAddress  string          `json:"object_address,omitempty" validate:"omitempty,ip_port"`
	VMListAddress  string          `json:"vm_list_address,omitempty" validate:"omitempty,ip_port"`
	WeightsAddress string          `json:"weights_address,omitempty" validate:"omitempty,ip_port"`
	Weights        WeightsSetting  `json:"weights"`
	Engines        []EngineSetting `json:"engines,omitempty" validate:"dive"`
	Plain          []PlainSetting  `json:"plain,omitempty" validate:"dive"`
}

// WeightsSetting describes the weight store.
type WeightsSetting struct {
	LoadsPerSecond  float64 `json:"loads_per_second,omitempty" validate:"gte=0"` // rate of model loads; 0 means no limit
	ConcurrentLoads int     `json:"concurrent_loads,omitempty" validate:"gte=0"` // concurrent model loads at full speed; 0 means no limit
	ModelMS         int     `json:"model_ms,omitempty" validate:"gte=0"`         // load time of a model at full speed
	AdapterLoads    int     `json:"adapter_loads,omitempty" validate:"gte=0"`    // concurrent adapter loads at full speed; 0 means no limit
	AdapterMS       int     `json:"adapter_ms,omitempty" validate:"gte=0"`       // load time of an adapter at full speed
	FreeModels      int     `json:"free_models,omitempty" validate:"gte=0"`      // number of initial model loads served without delay or limits
	TimeScale       float64 `json:"time_scale,omitempty" validate:"gte=0"`       // 1 is real time; 0 means no delays
}

// EngineSetting describes one model engine.
type EngineSetting struct {
	Name        string  `json:"name" validate:"required"`
	Address     string  `json:"address" validate:"required,ip_port"`
	MemoryBytes int64   `json:"memory_bytes" validate:"gt=0"`
	Fencing     bool    `json:"fencing,omitempty"`
	TimeScale   float64 `json:"time_scale,omitempty" validate:"gte=0"` // 1 is real time, smaller is faster; 0 means no delays
	EventGap    int     `json:"event_gap,omitempty" validate:"gte=0"`  // every n-th cache event is lost; 0 means none
}

// PlainSetting describes one plain service.
type PlainSetting struct {
	Name    string `json:"name" validate:"required"`
	Address string `json:"address" validate:"required,ip_port"`
}
