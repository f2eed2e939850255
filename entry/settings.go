// Package entry wires the entry process: the API for callers, the routing of
// each request to a backend server, and the administration listener.
package entry

import (
	"time"

	"peridotchute.example/common/tlsfile"
	"peridotchute.example/routing"
	"peridotchute.example/store"
)

// Settings is the settings file of an entry process.
type Settings struct {
	Name              string               `json:"name" validate:"required"` // name of the VM
	Region            string               `json:"region" validate:"required"`
	Zone              string               `json:"zone" validate:"required"` // availability zone
	CallerAddress     string               `json:"caller_address" validate:"required,ip_port"`
	AdminAddress      string               `json:"admin_address" validate:"required,ip_port"`
	RPCAddress        string               `json:"rpc_address" validate:"required,ip_port"`
	DeploymentKeyFile string               `json:"deployment_key_file" validate:"required,file"`
	OperatorKeyFile   string               `json:"operator_key_file,omitempty" validate:"omitempty,file"` // without it there is no administration API
	Table             store.TableSettings  `json:"table" validate:"required"`
	Objects           store.ObjectSettings `json:"objects" validate:"required"`
	VMList            store.VMSettings     `json:"vm_list" validate:"required"`
	CallerTLS         *tlsfile.Files       `json:"caller_tls,omitempty"`               // of caller_address; plain HTTP without it
	AdminTLS          *tlsfile.Files       `json:"admin_tls,omitempty"`                // of admin_address; plain HTTP without it
	PeerTLS           *tlsfile.Files       `json:"peer_tls,omitempty"`                 // between the deployment's processes; all have it or none
	DrainSeconds      int                  `json:"drain_s,omitempty" validate:"gte=0"` // longest graceful shutdown
	Policy            PolicySetting        `json:"policy"`
}

// PolicySetting configures how backend servers are chosen. Zero values select
// the defaults.
type PolicySetting struct {
	Routing          routing.Policy `json:"routing,omitempty" validate:"omitempty,oneof=adaptive round-robin least-in-flight static"`
	PerRequestUS     int64          `json:"per_request_us,omitempty" validate:"gte=0"`      // wait that each request in progress adds
	PrefillNSPerByte int64          `json:"prefill_ns_per_byte,omitempty" validate:"gte=0"` // per byte of the prompt that is not cached
	ModelLoadMS      int64          `json:"model_load_ms,omitempty" validate:"gte=0"`
	AdapterLoadUS    int64          `json:"adapter_load_us,omitempty" validate:"gte=0"`
	MovePriceUS      int64          `json:"move_price_us,omitempty" validate:"gte=0"` // wait that a load on demand must save if move and attainment weights are equal
	PlanIntervalMS   int64          `json:"plan_interval_ms,omitempty" validate:"gte=0"`
	DemandScale      float64        `json:"demand_scale,omitempty" validate:"gte=0"` // factor on the time constants of the demand estimate
}

// Costs returns the default costs, overridden by the settings that are not zero.
func (p PolicySetting) Costs() routing.Costs {
	c := routing.DefaultCosts
	set := func(d *time.Duration, n int64, unit time.Duration) {
		if n > 0 {
			*d = time.Duration(n) * unit
		}
	}
	set(&c.PerRequest, p.PerRequestUS, time.Microsecond)
	set(&c.PrefillPerByte, p.PrefillNSPerByte, time.Nanosecond)
	set(&c.ModelLoad, p.ModelLoadMS, time.Millisecond)
	set(&c.Move, p.MovePriceUS, time.Microsecond)
	set(&c.Eviction, p.ModelLoadMS, time.Millisecond/2)
	set(&c.AdapterLoad, p.AdapterLoadUS, time.Microsecond)
	return c
}
