package config

// PoolSize is the number of backend servers of a pool.
type PoolSize struct {
	Pool    string `json:"pool"`
	Servers int    `json:"servers"`
}

// Fleet gives the number of backend servers of each pool, as members of the
// deployment report it.
type Fleet []PoolSize

// servers returns the number of backend servers of a pool: what the fleet
// says, else what the pool declares, else false.
func (f Fleet) servers(p Pool) (int, bool) {
	for _, size := range f {
		if size.Pool == p.Name {
			return size.Servers, true
		}
	}
	return p.Servers, p.Servers > 0
}
