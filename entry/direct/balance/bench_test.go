package balance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"peridotchute.example/entry/direct/orders"
	"peridotchute.example/fleet"
)

// loadedBalancer returns a balancer with 18 model servers and far more queued
// requests than they can start, as in a burst over all models.
func loadedBalancer(waiting int) (*Balancer, *pool) {
	const models, servers = 31, 18
	b := New(Options{
		Zone:    "a",
		Regions: map[string]string{"a": "r"},
		Budget:  Budget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Ensure: func(ctx context.Context, _ orders.EnsureRequest) (string, error) {
			<-ctx.Done()
			return "", ctx.Err()
		},
	})
	engine := &fleet.Engine{Slots: 64, KVTokens: 240_000, WeightsMB: 200_000, AdapterSlots: 8, LoadsPerS: 2, EventTokens: 4, Models: map[string]fleet.Model{}}
	for m := range models {
		name := fmt.Sprintf("model%08d", m)
		engine.Models[name] = fleet.Model{Name: name, WeightsMB: 60_000, Adapters: 9, Load: time.Second}
	}
	v := &fleet.View{Config: &fleet.Config{Services: map[string]*fleet.Service{"llm": {Name: "llm", Engine: engine}}}, Regions: map[string]string{"a": "r"}}
	for i := range servers {
		s := fleet.Server{ID: fmt.Sprintf("i-%08d", i), Service: "llm", Address: "10.0.0.1:80", Zone: "a", Slots: 64}
		for k := range 3 {
			s.Residents = append(s.Residents, fleet.Resident{Model: fmt.Sprintf("model%08d", (i*3+k)%models), Adapters: []string{"a1", "a2"}})
		}
		v.Servers = append(v.Servers, s)
	}
	b.Update(v)
	rnd := rand.New(rand.NewPCG(1, 2))
	for i := range waiting {
		r := &fleet.Request{ID: fmt.Sprint(i), Model: fmt.Sprintf("model%08d", rnd.IntN(models)), TokensIn: 9000, TokensOut: 60}
		if rnd.IntN(3) == 0 {
			r.Adapter = fmt.Sprintf("a%d", 1+rnd.IntN(4))
		}
		r.Parts = []fleet.Part{{ID: rnd.Uint64N(3), Tokens: 2500}, {ID: 100 + rnd.Uint64N(23), Tokens: 3800}, {ID: rnd.Uint64(), Tokens: 2700}}
		route := &fleet.Route{Name: fmt.Sprintf("r%d", i%3), Objective: 3 * time.Second, Priority: i % 3, Stream: true}
		now := time.Now()
		go b.Admit(context.Background(), Query{Service: "llm", Request: r, Route: route, Arrived: now, Deadline: now.Add(time.Hour)})
	}
	for {
		b.mu.Lock()
		n := b.pools["llm"].queue.Len()
		b.mu.Unlock()
		if n > waiting/3 {
			time.Sleep(100 * time.Millisecond)
			return b, b.pools["llm"]
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// BenchmarkDispatchAllServers measures dispatch after a change that affects all
// servers.
func BenchmarkDispatchAllServers(bench *testing.B) {
	b, p := loadedBalancer(300)
	bench.ReportAllocs()
	for bench.Loop() {
		b.mu.Lock()
		p.queue.ServerChanged("")
		b.dispatch(p)
		b.mu.Unlock()
	}
	bench.ReportMetric(float64(p.queue.Len()), "waiting")
}

// BenchmarkDispatchOneServer measures dispatch after a change at one server.
func BenchmarkDispatchOneServer(bench *testing.B) {
	b, p := loadedBalancer(300)
	i := 0
	bench.ReportAllocs()
	for bench.Loop() {
		b.mu.Lock()
		p.queue.ServerChanged(p.order[i%len(p.order)].ID)
		b.dispatch(p)
		b.mu.Unlock()
		i++
	}
}
