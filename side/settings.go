// Package side wires the side process: the only way to its backend server. It
// is the authority over that server's memory and over what it has started.
package side

import (
	"peridotchute.example/common/tlsfile"
	"peridotchute.example/store"
)

// Settings are a side process's settings file.
type Settings struct {
	Name              string               `json:"name" validate:"required"`   // of its VM
	Region            string               `json:"region" validate:"required"` //
	Zone              string               `json:"zone" validate:"required"`   // availability zone
	Pool              string               `json:"pool" validate:"required"`
	DataAddress       string               `json:"data_address" validate:"required,ip_port"`
	RPCAddress        string               `json:"rpc_address" validate:"required,ip_port"`
	AdminAddress      string               `json:"admin_address" validate:"required,ip_port"`
	DeploymentKeyFile string               `json:"deployment_key_file" validate:"required,file"`
	Backend           BackendSetting       `json:"backend" validate:"required"`
	Table             *store.TableSettings `json:"table,omitempty"`                    // of load permits; without it loads are only spread over time
	AdminTLS          *tlsfile.Files       `json:"admin_tls,omitempty"`                // of admin_address; plain HTTP without it
	PeerTLS           *tlsfile.Files       `json:"peer_tls,omitempty"`                 // between the deployment's processes; all have it or none
	DrainSeconds      int                  `json:"drain_s,omitempty" validate:"gte=0"` // longest graceful shutdown
}

// BackendSetting describes the backend server beside the side process.
type BackendSetting struct {
	Kind        string `json:"kind" validate:"required,oneof=engine plain"`
	URL         string `json:"url" validate:"required,url"`
	MemoryBytes int64  `json:"memory_bytes,omitempty" validate:"gte=0"` // for weights; engines only
	Fencing     bool   `json:"fencing,omitempty"`                       // the engine refuses old fencing numbers
	SettleMS    int    `json:"settle_ms,omitempty" validate:"gte=0"`    // longest time an order given up may still take effect; 0 means the default
}
