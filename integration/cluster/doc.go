// Package cluster runs the daemons as separate processes on 127.0.0.1. It writes
// their settings files and can stop, kill, freeze and restart them. Tests and
// the load-testing commands use it.
//
// A typical test:
//
//	func TestMain(m *testing.M) { cluster.Main(m) }
//
//	proxies := proxy.NewServer()
//	c := cluster.Start(t, cluster.Options{Entries: 2, Sides: 2, Proxies: proxies})
//	assert.NilError(t, c.Side(1).Kill())
//	assert.NilError(t, proxies.Between("entry-1", "side-2").Slow(time.Second))
//	cluster.Eventually(t, func() error { ... })
package cluster
