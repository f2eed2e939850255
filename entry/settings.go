// Package entry wires the entry process: the callers' API, the choice of a
// backend server for each request, and the administration listener.
package entry

import (
	"peridotchute.example/platform"
)

// Settings are an entry process's settings file.
type Settings struct {
	Name              string                  `json:"name" validate:"required"`   // of its VM
	Region            string                  `json:"region" validate:"required"` //
	Zone              string                  `json:"zone" validate:"required"`   // availability zone
	CallerAddress     string                  `json:"caller_address" validate:"required,ip_port"`
	AdminAddress      string                  `json:"admin_address" validate:"required,ip_port"`
	RPCAddress        string                  `json:"rpc_address" validate:"required,ip_port"`
	DeploymentKeyFile string                  `json:"deployment_key_file" validate:"required,file"`
	Table             platform.TableSettings  `json:"table" validate:"required"`
	Objects           platform.ObjectSettings `json:"objects" validate:"required"`
	VMList            platform.VMSettings     `json:"vm_list" validate:"required"`
	DrainSeconds      int                     `json:"drain_s,omitempty" validate:"gte=0"` // longest graceful shutdown
}
