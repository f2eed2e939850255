// Package side wires the side process, through which all requests to its backend
// server pass. It decides what the server loads and which actions it starts.
package side

import (
	"peridotchute.example/common/tlsfile"
	"peridotchute.example/store"
)

// Settings is the content of a side process's settings file.
type Settings struct {
	Name              string               `json:"name" validate:"required"` // VM name
	Region            string               `json:"region" validate:"required"`
	Zone              string               `json:"zone" validate:"required"` // availability zone
	Pool              string               `json:"pool" validate:"required"`
	DataAddress       string               `json:"data_address" validate:"required,ip_port"`
	RPCAddress        string               `json:"rpc_address" validate:"required,ip_port"`
	AdminAddress      string               `json:"admin_address" validate:"required,ip_port"`
	DeploymentKeyFile string               `json:"deployment_key_file" validate:"required,file"`
	Backend           BackendSetting       `json:"backend" validate:"required"`
	Table             *store.TableSettings `json:"table,omitempty"`                    // stores load permits; without it, loads are only delayed at random
	AdminTLS          *tlsfile.Files       `json:"admin_tls,omitempty"`                // for admin_address; without it, plain HTTP
	PeerTLS           *tlsfile.Files       `json:"peer_tls,omitempty"`                 // between the deployment's processes; set for all of them or none
	DrainSeconds      int                  `json:"drain_s,omitempty" validate:"gte=0"` // limit of a graceful shutdown
}

// BackendSetting describes the backend server beside the side process.
type BackendSetting struct {
	Kind        string `json:"kind" validate:"required,oneof=engine plain"`
	URL         string `json:"url" validate:"required,url"`
	MemoryBytes int64  `json:"memory_bytes,omitempty" validate:"gte=0"` // accelerator memory for weights; engines only
	Fencing     bool   `json:"fencing,omitempty"`                       // the engine rejects expired orders and old fencing tokens
	SettleMS    int    `json:"settle_ms,omitempty" validate:"gte=0"`    // how long an order may still take effect after its answer was lost; 0 means the default
}
