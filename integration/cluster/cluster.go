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

// AdminURL returns the base URL of the administration listener.
func (e *Entry) AdminURL() string { return "http://" + e.Settings.AdminAddress }

// Side is a side process. Its backend server is a stand-in.
type Side struct {
	*Process
	Settings side.Settings
	backend  string // address of the stand-in, without a proxy
}

// BackendURL returns the base URL of the stand-in behind the side process,
// past any proxy.
func (s *Side) BackendURL() string { return "http://" + s.backend }

// AdminURL returns the base URL of the administration listener.
func (s *Side) AdminURL() string { return "http://" + s.Settings.AdminAddress }

// StandIn is the process of all stand-ins.
type StandIn struct {
	*Process
	Settings server.Settings
}

// Cluster is a set of running processes.
type Cluster struct {
	StandIn *StandIn

	opts    Options
	dir     string // settings files
	key     string // deployment key file
	bin     string
	entries []*Entry
	sides   []*Side
	plain   []*Side
	views   *views

	mu      sync.Mutex
	vms     map[string]store.VM // shown in the VM list, by name
	version uint64              // accepted last
}

// Start starts a cluster, waits until every process is ready, and ends it with
// the test. When the test has failed, it logs what the processes wrote.
func Start(t TB, o Options) *Cluster {
	t.Helper()
	c, err := New(o)
	if c != nil {
		t.Cleanup(func() {
			if t.Failed() {
				t.Logf("%s", c.Output())
			}
			if err := c.Close(); err != nil {
				t.Logf("end of the cluster: %v", err)
			}
		})
	}
	if err != nil {
		t.Fatalf("start the cluster: %v", err)
	}
	return c
}

// New starts a cluster and waits until every process is ready. The cluster,
// unless nil, must be closed also when an error is returned.
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
	c := &Cluster{opts: o.withDefaults(), dir: dir, bin: bin, vms: map[string]store.VM{}}
	c.key = filepath.Join(dir, "deployment.key")
	if err := os.WriteFile(c.key, []byte(deploymentKey+"\n"), 0o600); err != nil {
		return c, err
	}
	for _, step := range []func() error{c.describe, c.startStandIns, c.startDaemons, c.awaitDaemons} {
		if err := step(); err != nil {
			return c, err
		}
	}
	return c, nil
}

// Entry returns the entry process entry-i, counted from 1.
func (c *Cluster) Entry(i int) *Entry { return c.entries[i-1] }

// Side returns the side process side-i of a model server, counted from 1.
func (c *Cluster) Side(i int) *Side { return c.sides[i-1] }

// Plain returns the side process plain-i of a plain service, counted from 1.
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

// Output returns the end of what each process wrote.
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
	if c.views != nil {
		errs = append(errs, c.views.close())
	}
	return errors.Join(append(errs, os.RemoveAll(c.dir))...)
}

// Table returns a client of the table service, past any proxy.
func (c *Cluster) Table() store.Table {
	return store.NewTable(store.TableSettings{URL: "http://" + c.StandIn.Settings.TableAddress, Name: tableName})
}

// Objects returns a client of the object store, past any proxy.
func (c *Cluster) Objects() store.Objects {
	return store.NewObjects(store.ObjectSettings{URL: "http://" + c.StandIn.Settings.ObjectAddress, Bucket: bucketName})
}

func (c *Cluster) startStandIns() error {
	s := c.StandIn
	if err := c.launch(s.Process, ProgramStandIn, s.Settings); err != nil {
		return err
	}
	for _, address := range []string{s.Settings.TableAddress, s.Settings.ObjectAddress, s.Settings.VMListAddress} {
		if err := awaitReady(s.Process, listening(address)); err != nil {
			return err
		}
	}
	if err := c.showVMs(); err != nil {
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

// listening returns a condition that holds when a connection to the address
// can be opened.
func listening(address string) func() error {
	return func() error {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		return conn.Close()
	}
}
