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

// sampleConfig returns the sample configuration, made distinct by mark.
func sampleConfig(mark int) *config.Configuration {
	c := cluster.Sample(cluster.SampleZones(1))
	c.Policy.MaxBodyBytes = int64(1<<20 + mark)
	return c
}

func publishNext(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	assert.NilError(t, c.Publish(context.Background(), sampleConfig(int(c.Version()))))
}

// waitForVersion waits until all given processes use the given
// configuration version.
func waitForVersion(t *testing.T, version uint64, adminAddresses ...string) {
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

// assertVersionsIncrease fails if a process logged that it activated a
// configuration version not higher than the previous one. The process must not
// have been restarted.
func assertVersionsIncrease(t *testing.T, p *cluster.Process) {
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
		assert.Assert(t, entry.Count > last, "%s activated version %d after %d", p.Name, entry.Count, last)
		last = entry.Count
	}
	assert.Assert(t, last > 0, "%s logged no version", p.Name)
}

// faultDurationEnv is the environment variable with the time, such as "60s", by
// which some tests prolong their faults.
const faultDurationEnv = "PERIDOTCHUTE_HOLD"

// extendFault sleeps for the duration in faultDurationEnv, if it is set.
func extendFault(t *testing.T) {
	t.Helper()
	text := os.Getenv(faultDurationEnv)
	if text == "" {
		return
	}
	d, err := time.ParseDuration(text)
	assert.NilError(t, err, faultDurationEnv)
	time.Sleep(d)
}

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func TestAcceptedVersionsBecomeActive(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Entries: 4, Sides: 3, Plain: 1})
	for range 4 {
		publishNext(t, c)
		waitForVersion(t, c.Version(), c.AdminAddresses()...)
	}
}

func TestRestartWithStoreDown(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Entries: 4, Sides: 3, Plain: 1})
	publishNext(t, c)
	waitForVersion(t, c.Version(), c.AdminAddresses()...)
	assert.NilError(t, c.StoreDown(true))
	for i := 1; i <= 2; i++ {
		assert.NilError(t, c.Entry(i).Restart())
		assert.NilError(t, c.Side(i).Restart())
	}
	waitForVersion(t, c.Version(), c.AdminAddresses()...)
	extendFault(t)
	waitForSampleModel(t, c.Entry(1))
	waitForVersion(t, c.Version(), c.AdminAddresses()...)
	assert.NilError(t, c.StoreDown(false))
	publishNext(t, c)
	waitForVersion(t, c.Version(), c.AdminAddresses()...)
}

func TestFullRestartWithSlowStore(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Entries: 4, Sides: 3, Plain: 1})
	publishNext(t, c)
	waitForVersion(t, c.Version(), c.AdminAddresses()...)
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
	waitForVersion(t, c.Version(), c.AdminAddresses()...)
}

func TestProcessFrozenDuringConfigChanges(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Entries: 3, Sides: 3})
	entry, side := c.Entry(3), c.Side(3)
	assert.NilError(t, entry.Freeze())
	assert.NilError(t, side.Freeze())
	for range 5 {
		publishNext(t, c)
		waitForVersion(t, c.Version(), c.Entry(1).Settings.AdminAddress, c.Entry(2).Settings.AdminAddress, c.Side(1).Settings.AdminAddress)
	}
	cluster.Eventually(t, func() error { return checkDisconnected(c, "side-3", "entry-3") })
	extendFault(t)
	assert.NilError(t, c.StoreDown(true)) // leaves peers as the only source of newer versions
	assert.NilError(t, entry.Resume())
	assert.NilError(t, side.Resume())
	waitForVersion(t, c.Version(), c.AdminAddresses()...)
}

// checkDisconnected returns an error while entry-1 has a connection to any of the
// named processes.
func checkDisconnected(c *cluster.Cluster, names ...string) error {
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

// setReplicaFrozen makes table reads return the state as of now if frozen is set,
// and the current state otherwise.
func setReplicaFrozen(t *testing.T, c *cluster.Cluster, frozen bool) {
	t.Helper()
	url := "http://" + c.StandIn.Settings.TableAddress + "/control/replica"
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(fmt.Sprintf(`{"frozen":%t}`, frozen)))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
}

// waitForTableReads waits until the table has served several more reads.
func waitForTableReads(t *testing.T, c *cluster.Cluster) {
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

func TestStaleReadsCauseNoRollback(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Entries: 3, Sides: 2})
	publishNext(t, c)
	waitForVersion(t, c.Version(), c.AdminAddresses()...)
	setReplicaFrozen(t, c, true)
	publishNext(t, c) // not visible to table reads
	peer, err := c.Join(t.Context(), "joined", c.Entry(1), discardLogger())
	assert.NilError(t, err)
	newest := sampleConfig(int(c.Version()))
	newest.Version = c.Version()
	peer.Holder.Offer(newest)
	waitForVersion(t, c.Version(), c.AdminAddresses()...)
	waitForTableReads(t, c)
	for _, e := range c.Entries() {
		assertVersionsIncrease(t, e.Process)
	}
	assert.NilError(t, c.Entry(2).Restart())
	waitForVersion(t, c.Version(), c.AdminAddresses()...)
	setReplicaFrozen(t, c, false)
}
