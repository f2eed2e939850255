// Package direct wires an entry that calls backend servers directly, without side
// processes. Entries route requests by their own view of the backend servers.
package direct

import (
	"time"

	"peridotchute.example/platform"
)

// Settings are the settings file of an entry that calls backend servers directly.
type Settings struct {
	Name           string            `json:"name" validate:"required"` // of its VM
	Zone           string            `json:"zone" validate:"required"` // availability zone
	Region         string            `json:"region" validate:"required"`
	Regions        map[string]string `json:"regions" validate:"required"` // region of each availability zone
	CallerAddress  string            `json:"caller_address" validate:"required,ip_port"`
	ReadyAddress   string            `json:"ready_address" validate:"required,ip_port"`
	ReadyPath      string            `json:"ready_path" validate:"required,startswith=/"`
	MetricsAddress string            `json:"metrics_address" validate:"required,ip_port"`
	RPCAddress     string            `json:"rpc_address" validate:"required,ip_port"`
	Seeds          []string          `json:"seeds" validate:"omitempty,dive,ip_port"` // RPC addresses of other entries; may be stale
	Store          platform.Settings `json:"store" validate:"required"`
	MemoryMB       float64           `json:"memory_mb" validate:"gt=0"`              // limit at which the process is killed
	Cores          float64           `json:"cores" validate:"gt=0"`                  // of the VM
	ProcessorShare float64           `json:"processor_share" validate:"gte=0,lte=1"` // of these cores that the process may use; 0 means all
	DrainMS        float64           `json:"drain_ms" validate:"gt=0"`               // for how long a server still takes requests once it leaves
	GraceS         float64           `json:"grace_s" validate:"gt=0"`                // from SIGTERM to SIGKILL
	LeaseMS        float64           `json:"lease_ms" validate:"gt=0"`               // least time between the orders of two lease holders to one server
	RetryRatio     float64           `json:"retry_ratio" validate:"gte=0"`
	RetryWindowS   float64           `json:"retry_window_s" validate:"gt=0"`
	RetrySlack     float64           `json:"retry_slack" validate:"gte=0"`
	LoadWindowS    float64           `json:"load_window_s" validate:"gt=0"`
	LoadBurst      float64           `json:"load_burst" validate:"gt=0"`

	// What is tolerated above the quotas of client accounts. Zero values tolerate nothing.
	QuotaWindowS float64 `json:"quota_window_s" validate:"gte=0"` // in which requests are counted
	QuotaOverage float64 `json:"quota_overage" validate:"gte=0"`  // fraction above the quota
	QuotaSlack   float64 `json:"quota_slack" validate:"gte=0"`    // beside that, in the quotas' unit
}

// seconds converts a setting in seconds to a duration.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// milliseconds converts a setting in milliseconds to a duration.
func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// processor returns the processor time that the process may use, in cores.
func (s *Settings) processor() float64 {
	if s.ProcessorShare == 0 {
		return s.Cores
	}
	return s.Cores * s.ProcessorShare
}
