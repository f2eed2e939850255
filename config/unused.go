package config

// unusedFields returns the declared fields that have no effect yet. They cause
// warnings in the effects of a change.
func unusedFields(c *Configuration) []string {
	var out []string
	add := func(field string, declared bool) {
		if declared {
			out = append(out, field)
		}
	}
	accelerators, fencing, tokenTarget := false, false, false
	for _, p := range c.Pools {
		accelerators = accelerators || p.Accelerators > 0
		fencing = fencing || p.Fencing
	}
	for _, m := range c.Models {
		tokenTarget = tokenTarget || m.Target.TokenMS > 0
	}
	add("pools.accelerators", accelerators)
	add("pools.fencing (side processes have their own setting)", fencing)
	add("models.target.token_ms", tokenTarget)
	add("regions.store", hasStore(c))
	return out
}
