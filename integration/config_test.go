package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"peridotchute.example/common/event"
	"peridotchute.example/config"
	"peridotchute.example/config/spread"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/standin/faults"
	"peridotchute.example/standin/table"
)

// sample returns the sample configuration with a mark in it.
func sample(mark int) *config.Configuration {
	c := cluster.Sample(cluster.SampleZones(1))
	c.Policy.MaxBodyBytes = int64(1<<20 + mark)
	return c
}

func publishNext(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	assert.NilError(t, c.Publish(context.Background(), sample(int(c.Version()))))
}

// inForce waits until the processes use a version.
func inForce(t *testing.T, version uint64, adminAddresses ...string) {
	t.Helper()
	cluster.Eventually(t, func() error {
		for _, address := range adminAddresses {
			got, err := cluster.ConfigVersion(address)
			if err != nil {
				return err
			}
			if got != version {
				return fmt.Errorf("%s uses version %d, want %d", address, got, version)
			}
		}
		return nil
	})
}

// neverBack fails when a process, by its own log, put a version in force that
// was not higher than the one before. It must not have been restarted.
func neverBack(t *testing.T, p *cluster.Process) {
	t.Helper()
	var last uint64
	for _, line := range strings.Split(p.Stderr(), "\n") {
		var entry struct {
			Event int    `json:"event"`
			Count uint64 `json:"count"`
		}
		if json.Unmarshal([]byte(line), &entry) != nil || entry.Event != event.ConfigInForce.ID {
			continue
		}
		assert.Assert(t, entry.Count > last, "%s put version %d in force after %d", p.Name, entry.Count, last)
		last = entry.Count
	}
	assert.Assert(t, last > 0, "%s logged no version", p.Name)
}

// holdVariable names the environment variable that makes faults last longer
// than the tests need, such as "60s".
const holdVariable = "PERIDOTCHUTE_HOLD"

// hold lets a fault last on for the time that the environment asks for.
func hold(t *testing.T) {
	t.Helper()
	text := os.Getenv(holdVariable)
	if text == "" {
		return
	}
	d, err := time.ParseDuration(text)
	assert.NilError(t, err, holdVariable)
	time.Sleep(d)
}

func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func TestAcceptedVersionsComeIntoForceEverywhere(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Entries: 4, Sides: 3, Plain: 1})
	for range 4 {
		publishNext(t, c)
		inForce(t, c.Version(), c.AdminAddresses()...)
	}
}

func TestRestartWithTheStoreDown(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Entries: 4, Sides: 3, Plain: 1})
	publishNext(t, c)
	inForce(t, c.Version(), c.AdminAddresses()...)
	assert.NilError(t, c.StoreDown(true))
	for i := 1; i <= 2; i++ {
		assert.NilError(t, c.Entry(i).Restart())
		assert.NilError(t, c.Side(i).Restart())
	}
	inForce(t, c.Version(), c.AdminAddresses()...)
	hold(t)
	served(t, c.Entry(1))
	inForce(t, c.Version(), c.AdminAddresses()...)
	assert.NilError(t, c.StoreDown(false))
	publishNext(t, c)
	inForce(t, c.Version(), c.AdminAddresses()...)
}

func TestEverythingRestartsAtOnceWithASlowStore(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Entries: 4, Sides: 3, Plain: 1})
	publishNext(t, c)
	inForce(t, c.Version(), c.AdminAddresses()...)
	const slowMS = 700
	for _, address := range []string{c.StandIn.Settings.TableAddress, c.StandIn.Settings.ObjectAddress} {
		assert.NilError(t, c.Fault(address, faults.Settings{SlowMS: slowMS}))
	}
	for _, e := range c.Entries() {
		assert.NilError(t, e.Kill())
	}
	for _, s := range c.Sides() {
		assert.NilError(t, s.Restart())
	}
	for _, e := range c.Entries() {
		assert.NilError(t, e.Start())
	}
	inForce(t, c.Version(), c.AdminAddresses()...)
}

func TestProcessFrozenAcrossVersions(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Entries: 3, Sides: 3})
	entry, side := c.Entry(3), c.Side(3)
	assert.NilError(t, entry.Freeze())
	assert.NilError(t, side.Freeze())
	for range 5 {
		publishNext(t, c)
		inForce(t, c.Version(), c.Entry(1).Settings.AdminAddress, c.Entry(2).Settings.AdminAddress, c.Side(1).Settings.AdminAddress)
	}
	cluster.Eventually(t, func() error { return parted(c, "side-3", "entry-3") })
	hold(t)
	assert.NilError(t, c.StoreDown(true)) // leaves the peers as the only source
	assert.NilError(t, entry.Resume())
	assert.NilError(t, side.Resume())
	inForce(t, c.Version(), c.AdminAddresses()...)
}

// parted returns an error while entry-1 still has a connection to one of the
// named processes.
func parted(c *cluster.Cluster, names ...string) error {
	peers, err := cluster.State[[]spread.PeerVersion](c.Entry(1).Settings.AdminAddress, "config_peers")
	if err != nil {
		return err
	}
	for _, p := range peers {
		for _, name := range names {
			if p.Name == name {
				return fmt.Errorf("entry-1 is still connected to %s", name)
			}
		}
	}
	return nil
}

func setReplica(t *testing.T, c *cluster.Cluster, frozen bool) {
	t.Helper()
	url := "http://" + c.StandIn.Settings.TableAddress + "/control/replica"
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(fmt.Sprintf(`{"frozen":%t}`, frozen)))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
}

// polled waits until the table has answered many reads more.
func polled(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	const reads = 12
	var before table.Counts
	cluster.Eventually(t, func() error {
		counts, err := c.TableCounts()
		if err != nil {
			return err
		}
		if before.Reads == 0 {
			before = counts
		}
		if counts.Reads < before.Reads+reads {
			return fmt.Errorf("%d reads", counts.Reads-before.Reads)
		}
		return nil
	})
}

func TestStaleReadsTurnNobodyBack(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Entries: 3, Sides: 2})
	publishNext(t, c)
	inForce(t, c.Version(), c.AdminAddresses()...)
	setReplica(t, c, true)
	publishNext(t, c) // hidden from every reader of the table
	j, err := c.Join(t.Context(), "joined", c.Entry(1), quiet())
	assert.NilError(t, err)
	newest := sample(int(c.Version()))
	newest.Version = c.Version()
	j.Holder.Offer(newest)
	inForce(t, c.Version(), c.AdminAddresses()...)
	polled(t, c)
	for _, e := range c.Entries() {
		neverBack(t, e.Process)
	}
	assert.NilError(t, c.Entry(2).Restart())
	inForce(t, c.Version(), c.AdminAddresses()...)
	setReplica(t, c, false)
}
