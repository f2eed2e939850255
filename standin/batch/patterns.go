package batch

import "time"

// brief is a long prompt with shared parts, chat a short one with a long answer.
func brief(perS float64, models ...float64) Kind {
	return Kind{
		Name: "brief", Priority: 1, PerS: perS, Objective: 800 * time.Millisecond, Gap: 400 * time.Millisecond, Deadline: 5 * time.Second, Worth: 2.8, LateWorth: 1.4,
		Own: Size{2890, 1, 39_600}, System: 2520, Document: 3780, Documents: 23, Out: Size{52, 1.4, 200}, Models: models, Sends: 2, Returns: 1,
	}
}

func chat(perS float64, models ...float64) Kind {
	return Kind{
		Name: "chat", PerS: perS, Objective: 1500 * time.Millisecond, Gap: 400 * time.Millisecond, Deadline: 15 * time.Second, Worth: 1.1, LateWorth: 0.53,
		Own: Size{628, 1, 3310}, System: 119, Document: 79, Documents: 44, Out: Size{290, 0.69, 950}, Models: models, Sends: 2, Returns: 1,
	}
}

func booking(perS float64) Kind {
	return Kind{Name: "booking", Priority: 2, PerS: perS, Objective: 150 * time.Millisecond, Gap: time.Second, Deadline: 800 * time.Millisecond, Worth: 1, LateWorth: 0.5, Sends: 1, Returns: 1, Work: 15 * time.Millisecond}
}

func lookup(perS float64) Kind {
	k := booking(perS)
	k.Name, k.Sends, k.Repeat = "lookup", 2, true
	return k
}

func disturbed(f Fault) []Fault {
	f.From, f.Until = 8*time.Second, 14*time.Second
	return []Fault{f}
}

// Patterns returns the loads under which decisions matter most, by name: 20 s
// each, with seed 0.
func Patterns() map[string]Scenario {
	one, three := []Model{{Servers: []int{0}}}, []Model{{Servers: []int{0, 1, 2}}}
	mixed := func(b, c float64) []Kind { return []Kind{brief(b, 1), chat(c, 1)} }
	all := map[string]Scenario{
		"hot model with one replica": {Servers: 1, Entries: 3, Kinds: mixed(8, 6), Models: one},
		"far too much for a replica": {Servers: 1, Entries: 3, Kinds: mixed(14, 6), Models: one},
		"burst of the long prompts":  {Servers: 3, Entries: 4, Kinds: mixed(18, 20), Models: three, Faults: disturbed(Fault{Burst: 1.7, Kind: "brief"})},
		"crash of a server":          {Servers: 3, Entries: 4, Kinds: mixed(16, 20), Models: three, Faults: disturbed(Fault{Crash: true, Server: 1})},
		"silent server":              {Servers: 3, Entries: 4, Kinds: mixed(10, 12), Models: three, Faults: disturbed(Fault{Dark: true, Server: 1})},
		"slow server":                {Servers: 3, Entries: 4, Kinds: mixed(16, 20), Models: three, Faults: disturbed(Fault{Slow: 7.5, Server: 1})},
		"shared prefixes":            {Servers: 3, Entries: 4, Kinds: mixed(20, 10), Models: three},
		"long prompts among short":   {Servers: 2, Entries: 3, Kinds: mixed(6, 30), Models: []Model{{Servers: []int{0, 1}}}},
		"replicas that come up":      {Servers: 3, Entries: 4, Kinds: mixed(14, 12), Models: []Model{{Servers: []int{0}, Loads: []ModelLoad{{1, 5 * time.Second, 8 * time.Second}, {2, 7 * time.Second, 10 * time.Second}}}}},
		"many models, 1.7 times":     site(9, 16, 1.7),
		"full plain service":         {Entries: 4, Plain: Plain{Servers: 3}, Kinds: []Kind{booking(900), lookup(400)}},
		"burst at the plain service": {Entries: 4, Plain: Plain{Servers: 3}, Kinds: []Kind{booking(600), lookup(250)}, Faults: disturbed(Fault{Burst: 1.7})},
		"slow plain server":          {Entries: 4, Plain: Plain{Servers: 3}, Kinds: []Kind{booking(300), lookup(100)}, Faults: disturbed(Fault{Plain: true, Slow: 7.5})},
		"crash of a plain server":    {Entries: 4, Plain: Plain{Servers: 3}, Kinds: []Kind{booking(300), lookup(100)}, Faults: disturbed(Fault{Plain: true, Crash: true})},
	}
	for name, sc := range all {
		sc.Length = 20 * time.Second
		all[name] = sc
	}
	return all
}

// site is servers with three models each, of which six are busy and have the
// places that are left over.
func site(servers, models int, times float64) Scenario {
	all, shares := make([]Model, models), make([]float64, models)
	for i := range 3 * servers {
		m := i
		if i >= models {
			m = []int{0, 0, 1, 2, 3, 4, 5, 0, 1, 2}[(i-models)%10]
		}
		all[m].Servers = append(all[m].Servers, (i+i/servers)%servers)
	}
	for i := range shares {
		shares[i] = 0.02
	}
	copy(shares, []float64{0.33, 0.18, 0.15, 0.13, 0.12, 0.11})
	return Scenario{Servers: servers, Entries: 8, Models: all, Kinds: []Kind{brief(14*times, shares...), chat(18*times, shares...)}}
}
