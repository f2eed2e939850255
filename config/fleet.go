package config

// PoolSize is the number of backend servers of a pool.
type PoolSize struct {
	Pool    string `json:"pool"`
	Servers int    `json:"servers"`
}

// Fleet is the number of backend servers of each pool according to the platform's
// VM list. A pool that is not listed has no servers. A nil Fleet means that the VM
// list is not known.
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

// servers returns the expected number of backend servers: the declared number, or
// else the number in the VM list. It returns false if neither is known.
func (f Fleet) servers(p Pool) (int, bool) {
	if p.Servers > 0 {
		return p.Servers, true
	}
	return f.count(p.Name), f != nil
}
