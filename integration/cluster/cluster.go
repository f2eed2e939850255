package cluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"

	"peridotchute.example/entry"
	"peridotchute.example/side"
	"peridotchute.example/standin/server"
	"peridotchute.example/store"
)

const deploymentKey = "deployment-key-of-a-test"

// Entry is an entry process.
type Entry struct {
	*Process
	Settings entry.Settings
}

// URL returns the base URL of the callers' API.
func (e *Entry) URL() string { return "http://" + e.Settings.CallerAddress }

// AdminURL returns the base URL of the admin listener.
func (e *Entry) AdminURL() string { return "http://" + e.Settings.AdminAddress }

// Side is a side process whose backend server is a stand-in.
type Side struct {
	*Process
	Settings side.Settings
	backend  string // address of the stand-in itself, not of a proxy
}

// BackendURL returns the base URL of the stand-in behind the side process,
// bypassing any proxy.
func (s *Side) BackendURL() string { return "http://" + s.backend }

// AdminURL returns the base URL of the admin listener.
func (s *Side) AdminURL() string { return "http://" + s.Settings.AdminAddress }

// StandIn is the process that runs all stand-ins.
type StandIn struct {
	*Process
	Settings server.Settings
}

// Cluster is a set of running processes.
type Cluster struct {
	StandIn *StandIn

	opts        Options
	dir         string // directory of the settings files
	keyFile     string // deployment key file
	programsDir string
	entries     []*Entry
	sides       []*Side
	plain       []*Side
	vmListProxy *vmListProxy

	mu      sync.Mutex
	vms     map[string]store.VM // content of the VM list, by name
	version uint64              // last accepted configuration version
}

// Start starts a cluster, waits until every process is ready, and stops it at
// the end of the test. If the test failed, it logs the output of the processes.
func Start(t TB, o Options) *Cluster {
	t.Helper()
	c, err := New(o)
	if c != nil {
		t.Cleanup(func() {
			if t.Failed() {
				t.Logf("%s", c.Output())
			}
			if err := c.Close(); err != nil {
				t.Logf("close the cluster: %v", err)
			}
		})
	}
	if err != nil {
		t.Fatalf("start the cluster: %v", err)
	}
	return c
}

// New starts a cluster and waits until every process is ready. If the returned
// cluster is not nil, the caller must close it, even after an error.
func New(o Options) (*Cluster, error) {
	bin := o.Programs
	if bin == "" {
		var err error
		if bin, err = Programs(); err != nil {
			return nil, err
		}
	}
	dir, err := os.MkdirTemp("", "peridotchute-cluster-")
	if err != nil {
		return nil, err
	}
	c := &Cluster{opts: o.withDefaults(), dir: dir, programsDir: bin, vms: map[string]store.VM{}}
	c.keyFile = filepath.Join(dir, "deployment.key")
	if err := os.WriteFile(c.keyFile, []byte(deploymentKey+"\n"), 0o600); err != nil {
		return c, err
	}
	for _, step := range []func() error{c.configure, c.startStandIns, c.startDaemons, c.awaitDaemons} {
		if err := step(); err != nil {
			return c, err
		}
	}
	return c, nil
}

// Entry returns the entry process entry-i; i starts at 1.
func (c *Cluster) Entry(i int) *Entry { return c.entries[i-1] }

// Side returns the side process side-i of a model server; i starts at 1.
func (c *Cluster) Side(i int) *Side { return c.sides[i-1] }

// Plain returns the side process plain-i of a plain service; i starts at 1.
func (c *Cluster) Plain(i int) *Side { return c.plain[i-1] }

// Entries returns all entry processes.
func (c *Cluster) Entries() []*Entry { return c.entries }

// Sides returns all side processes, those of plain services last.
func (c *Cluster) Sides() []*Side {
	return append(append([]*Side(nil), c.sides...), c.plain...)
}

// Processes returns every process, the stand-ins last.
func (c *Cluster) Processes() []*Process {
	var out []*Process
	for _, e := range c.entries {
		out = append(out, e.Process)
	}
	for _, s := range c.Sides() {
		out = append(out, s.Process)
	}
	return append(out, c.StandIn.Process)
}

// Output returns the last part of the output of each process.
func (c *Cluster) Output() string {
	var out string
	for _, p := range c.Processes() {
		out += fmt.Sprintf("--- %s\n%s", p.Name, p.Stderr())
	}
	return out
}

// Close kills every process and removes the settings files.
func (c *Cluster) Close() error {
	var errs []error
	if c.StandIn != nil {
		for _, p := range c.Processes() {
			errs = append(errs, p.Kill())
		}
	}
	if c.vmListProxy != nil {
		errs = append(errs, c.vmListProxy.close())
	}
	return errors.Join(append(errs, os.RemoveAll(c.dir))...)
}

// Table returns a client of the table service that bypasses any proxy.
func (c *Cluster) Table() store.Table {
	return store.NewTable(store.TableSettings{URL: "http://" + c.StandIn.Settings.TableAddress, Name: tableName})
}

// Objects returns a client of the object store that bypasses any proxy.
func (c *Cluster) Objects() store.Objects {
	return store.NewObjects(store.ObjectSettings{URL: "http://" + c.StandIn.Settings.ObjectAddress, Bucket: bucketName})
}

func (c *Cluster) startStandIns() error {
	s := c.StandIn
	if err := c.launch(s.Process, ProgramStandIn, s.Settings); err != nil {
		return err
	}
	for _, address := range []string{s.Settings.TableAddress, s.Settings.ObjectAddress, s.Settings.VMListAddress} {
		if err := awaitReady(s.Process, acceptsConnections(address)); err != nil {
			return err
		}
	}
	if err := c.publishVMs(); err != nil {
		return err
	}
	return c.Publish(context.Background(), c.opts.Config)
}

func (c *Cluster) startDaemons() error {
	for _, s := range c.Sides() {
		if err := c.launch(s.Process, ProgramSide, s.Settings); err != nil {
			return err
		}
	}
	for _, e := range c.entries {
		if err := c.launch(e.Process, ProgramEntry, e.Settings); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) awaitDaemons() error {
	for _, s := range c.Sides() {
		if err := awaitReady(s.Process, Ready(s.Settings.AdminAddress)); err != nil {
			return err
		}
	}
	for _, e := range c.entries {
		if err := awaitReady(e.Process, Ready(e.Settings.AdminAddress)); err != nil {
			return err
		}
	}
	return nil
}

// acceptsConnections returns a condition that is met when a TCP connection to
// the address succeeds.
func acceptsConnections(address string) func() error {
	return func() error {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		return conn.Close()
	}
}
