// Package cluster starts the daemons as processes of their own on 127.0.0.1,
// with settings files that it writes, and stops, kills, freezes and restarts
// them by process id. Tests and the measuring commands share it.
//
// A test reads:
//
//	func TestMain(m *testing.M) { cluster.Main(m) }
//
//	proxies := proxy.NewServer()
//	c := cluster.Start(t, cluster.Options{Entries: 2, Sides: 2, Proxies: proxies})
//	assert.NilError(t, c.Side(1).Kill())
//	assert.NilError(t, proxies.Between("entry-1", "side-2").Slow(time.Second))
//	cluster.Eventually(t, func() error { ... })
package cluster
