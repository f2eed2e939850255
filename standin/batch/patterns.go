package batch

import "time"

// brief returns a kind with long prompts, mostly shared, and short answers.
func brief(rate float64, models ...float64) Kind {
	return Kind{
		Name: "brief", Priority: 1, Rate: rate, Objective: 800 * time.Millisecond, MaxGap: 400 * time.Millisecond, Deadline: 5 * time.Second, Value: 2.8, LateValue: 1.4,
		Input: Size{2890, 1, 39_600}, SystemTokens: 2520, DocumentTokens: 3780, Documents: 23, Output: Size{52, 1.4, 200}, Models: models, MaxSends: 2, MaxRetries: 1,
	}
}

// chat returns a kind with short prompts and long answers.
func chat(rate float64, models ...float64) Kind {
	return Kind{
		Name: "chat", Rate: rate, Objective: 1500 * time.Millisecond, MaxGap: 400 * time.Millisecond, Deadline: 15 * time.Second, Value: 1.1, LateValue: 0.53,
		Input: Size{628, 1, 3310}, SystemTokens: 119, DocumentTokens: 79, Documents: 44, Output: Size{290, 0.69, 950}, Models: models, MaxSends: 2, MaxRetries: 1,
	}
}

// booking returns a kind for the plain service that must not be repeated.
func booking(rate float64) Kind {
	return Kind{Name: "booking", Priority: 2, Rate: rate, Objective: 150 * time.Millisecond, MaxGap: time.Second, Deadline: 800 * time.Millisecond, Value: 1, LateValue: 0.5, MaxSends: 1, MaxRetries: 1, MeanServiceTime: 15 * time.Millisecond}
}

// lookup returns a kind for the plain service that may be repeated.
func lookup(rate float64) Kind {
	k := booking(rate)
	k.Name, k.MaxSends, k.Idempotent = "lookup", 2, true
	return k
}

// midRun returns the fault with its time set to the middle of a pattern.
func midRun(f Fault) []Fault {
	f.From, f.Until = 8*time.Second, 14*time.Second
	return []Fault{f}
}

// Patterns returns the load patterns by name, of 20 s each: those on which the choice
// of a policy has the most effect.
func Patterns() map[string]Scenario {
	oneServer, threeServers := []Model{{Servers: []int{0}}}, []Model{{Servers: []int{0, 1, 2}}}
	mixed := func(briefRate, chatRate float64) []Kind { return []Kind{brief(briefRate, 1), chat(chatRate, 1)} }
	all := map[string]Scenario{
		"hot model with one replica": {Servers: 1, Entries: 3, Kinds: mixed(8, 6), Models: oneServer},
		"far too much for a replica": {Servers: 1, Entries: 3, Kinds: mixed(14, 6), Models: oneServer},
		"burst of the long prompts":  {Servers: 3, Entries: 4, Kinds: mixed(18, 20), Models: threeServers, Faults: midRun(Fault{BurstFactor: 1.7, Kind: "brief"})},
		"crash of a server":          {Servers: 3, Entries: 4, Kinds: mixed(16, 20), Models: threeServers, Faults: midRun(Fault{Crash: true, Server: 1})},
		"silent server":              {Servers: 3, Entries: 4, Kinds: mixed(10, 12), Models: threeServers, Faults: midRun(Fault{Silent: true, Server: 1})},
		"slow server":                {Servers: 3, Entries: 4, Kinds: mixed(16, 20), Models: threeServers, Faults: midRun(Fault{SlowFactor: 7.5, Server: 1})},
		"shared prefixes":            {Servers: 3, Entries: 4, Kinds: mixed(20, 10), Models: threeServers},
		"long prompts among short":   {Servers: 2, Entries: 3, Kinds: mixed(6, 30), Models: []Model{{Servers: []int{0, 1}}}},
		"replicas that come up":      {Servers: 3, Entries: 4, Kinds: mixed(14, 12), Models: []Model{{Servers: []int{0}, Loads: []ModelLoad{{1, 5 * time.Second, 8 * time.Second}, {2, 7 * time.Second, 10 * time.Second}}}}},
		"many models, 1.7 times":     manyModels(9, 16, 1.7),
		"full plain service":         {Entries: 4, Plain: Plain{Servers: 3}, Kinds: []Kind{booking(900), lookup(400)}},
		"burst at the plain service": {Entries: 4, Plain: Plain{Servers: 3}, Kinds: []Kind{booking(600), lookup(250)}, Faults: midRun(Fault{BurstFactor: 1.7})},
		"slow plain server":          {Entries: 4, Plain: Plain{Servers: 3}, Kinds: []Kind{booking(300), lookup(100)}, Faults: midRun(Fault{Plain: true, SlowFactor: 7.5})},
		"crash of a plain server":    {Entries: 4, Plain: Plain{Servers: 3}, Kinds: []Kind{booking(300), lookup(100)}, Faults: midRun(Fault{Plain: true, Crash: true})},
	}
	for name, sc := range all {
		sc.Length = 20 * time.Second
		all[name] = sc
	}
	return all
}

// manyModels returns a scenario of servers with three models each. Every model has one
// replica; the first six get the remaining replicas and most of the requests.
func manyModels(servers, models int, load float64) Scenario {
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
	return Scenario{Servers: servers, Entries: 8, Models: all, Kinds: []Kind{brief(14*load, shares...), chat(18*load, shares...)}}
}
