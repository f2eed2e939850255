package engine

// Paths of an engine's HTTP interface.
const (
	PathLoadAdapter   = "/v1/load_lora_adapter"
	PathUnloadAdapter = "/v1/unload_lora_adapter"
	PathLoadModel     = "/v1/load_model"
	PathUnloadModel   = "/v1/unload_model"
	PathRole          = "/v1/role"
	PathInventory     = "/v1/inventory"
	PathCacheEvents   = "/v1/cache_events"
	PathKV            = "/v1/kv/" // followed by the prefix in decimal
	PathMetrics       = "/metrics"
)

// Names of the load metrics in an engine's Prometheus text.
const (
	MetricRunning = "vllm:num_requests_running"
	MetricWaiting = "vllm:num_requests_waiting"
	MetricKVUsed  = "vllm:gpu_cache_usage_perc"
)

// OrderBody is the request body of a load, unload or role order. The adapter
// fields are those of vLLM; the others are extensions that an engine may ignore.
type OrderBody struct {
	AdapterName  string `json:"lora_name,omitempty"`
	AdapterPath  string `json:"lora_path,omitempty"` // Order.Artifact in its String form
	ModelName    string `json:"model_name,omitempty"`
	ModelPath    string `json:"model_path,omitempty"` // Order.Artifact in its String form
	Base         string `json:"base_model_name,omitempty"`
	Bytes        int64  `json:"bytes,omitempty"`
	Role         Role   `json:"role,omitempty"`
	FencingToken uint64 `json:"fencing"`
	ExpiresAtMS  int64  `json:"expires_at_ms"` // Unix time by the VM's clock, in milliseconds; 0 means never
}

// CacheEventList is the response to a query for cache events.
type CacheEventList struct {
	Events []CacheEvent `json:"events"`
}
