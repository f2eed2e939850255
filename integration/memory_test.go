package integration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/config"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/side"
	"peridotchute.example/standin/engine"
	"peridotchute.example/standin/faults"
	"peridotchute.example/standin/server"
)

const (
	tightModels       = 6
	tightMemory       = 40 << 30 // fits two models and their adapters
	tightModelBytes   = 16 << 30
	tightAdapterBytes = 256 << 20
	settleMS          = 300
)

// tightConfig declares models, each with an adapter, that together fill the memory
// of three servers.
func tightConfig(version string) *config.Configuration {
	c := cluster.Sample(cluster.SampleZones(2))
	c.Pools[0].MemoryBytes = tightMemory
	c.Models, c.Adapters = nil, nil
	for i := range tightModels {
		name := fmt.Sprintf("model-%d", i)
		c.Models = append(c.Models, config.Model{Name: name, Version: version, Pool: cluster.SampleEnginePool, MemoryBytes: tightModelBytes})
		c.Adapters = append(c.Adapters, config.Adapter{Name: "adapter-" + name, Version: version, Model: name, MemoryBytes: tightAdapterBytes})
	}
	return c
}

func tightCluster(t *testing.T, fencing bool) *cluster.Cluster {
	return cluster.Start(t, cluster.Options{
		Entries: 2, Sides: 3, Zones: cluster.SampleZones(2), MemoryBytes: tightMemory, Config: tightConfig("1"),
		EditSide: func(_ int, s *side.Settings) {
			s.Backend.Fencing, s.Backend.SettleMS = fencing, settleMS
		},
		EditStandIn: func(s *server.Settings) {
			for i := range s.Engines {
				s.Engines[i].Fencing = fencing
			}
		},
	})
}

// TestMemoryLimitsUnderFaults checks that no server overcommits its memory or
// unloads a model in use while responses to orders are lost, side processes restart
// and the versions of all models change under load.
func TestMemoryLimitsUnderFaults(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing=%v", fencing), func(t *testing.T) {
			c := tightCluster(t, fencing)
			stop := make(chan struct{})
			var traffic sync.WaitGroup
			for i := range 6 {
				traffic.Go(func() { sendRandomRequests(c, uint64(i), stop) })
			}
			injectFaults(t, c)
			close(stop)
			traffic.Wait()
			for _, p := range c.Sides() {
				assert.NilError(t, c.Fault(p.BackendURL()[len("http://"):], faults.Settings{}))
			}
			for i := range tightModels {
				waitForModel(t, c, fmt.Sprintf("model-%d", i))
				waitForModel(t, c, fmt.Sprintf("adapter-model-%d", i))
			}
			for _, s := range c.Sides() {
				b := breaches(t, s)
				assert.Equal(t, b.Overcommits, 0, "%s: %+v", s.Name, b)
				assert.Equal(t, b.InUseUnloads, 0, "%s: %+v", s.Name, b)
				assert.Assert(t, b.Loads > 0, "%s loaded nothing", s.Name)
			}
		})
	}
}

// sendRandomRequests sends requests for random models until stop is closed.
func sendRandomRequests(c *cluster.Cluster, seed uint64, stop <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	for {
		select {
		case <-stop:
			return
		default:
		}
		name := fmt.Sprintf("model-%d", rnd.IntN(tightModels))
		if rnd.IntN(2) == 0 {
			name = "adapter-" + name
		}
		resp, err := post(c.Entry(1+rnd.IntN(2)), "/v1/completions", completion(name, 8, true))
		if err != nil || resp.StatusCode != http.StatusOK {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// injectFaults goes through the side processes: for each it drops responses to
// orders, replaces the versions of all models and restarts the process.
func injectFaults(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	for round, s := range c.Sides() {
		for _, pathPrefix := range []string{"/v1/load_", "/v1/unload_"} {
			assert.NilError(t, c.Fault(s.BackendURL()[len("http://"):], faults.Settings{LoseNext: 3, Match: pathPrefix}))
			time.Sleep(400 * time.Millisecond)
		}
		assert.NilError(t, c.Publish(context.Background(), tightConfig(fmt.Sprint(round+2))))
		time.Sleep(400 * time.Millisecond)
		assert.NilError(t, s.Restart())
		cluster.Eventually(t, cluster.Ready(s.Settings.AdminAddress))
	}
}

// waitForModel waits until requests for the model or adapter succeed.
func waitForModel(t *testing.T, c *cluster.Cluster, name string) {
	t.Helper()
	cluster.Eventually(t, func() error {
		resp, err := post(c.Entry(1), "/v1/completions", completion(name, 1, false))
		if err == nil && resp.StatusCode != http.StatusOK {
			err = errors.New(resp.body)
		}
		return err
	})
}

func breaches(t *testing.T, s *cluster.Side) engine.Breaches {
	t.Helper()
	resp, err := http.Get(s.BackendURL() + "/control/breaches")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var b engine.Breaches
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&b))
	return b
}
