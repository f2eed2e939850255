package config

// PoolSize is the number of backend servers of a pool.
type PoolSize struct {
	Pool    string `json:"pool"`
	Servers int    `json:"servers"`
}

// Fleet gives the number of backend servers of each pool as the platform's VM
// list shows them; a pool that is not in it has none. A nil fleet is unknown.
type Fleet []PoolSize

// count returns the number of backend servers that the VM list shows.
func (f Fleet) count(pool string) int {
	for _, size := range f {
		if size.Pool == pool {
			return size.Servers
		}
	}
	return 0
}

// servers returns the number of backend servers to count on: what the pool
// declares, else what the fleet shows, else false.
func (f Fleet) servers(p Pool) (int, bool) {
	if p.Servers > 0 {
		return p.Servers, true
	}
	return f.count(p.Name), f != nil
}
