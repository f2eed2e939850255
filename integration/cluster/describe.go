package cluster

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"peridotchute.example/entry"
	"peridotchute.example/side"
	"peridotchute.example/standin/server"
	"peridotchute.example/store"
)

const (
	tableName        = "peridotchute"
	bucketName       = "peridotchute"
	vmListIntervalMS = 100
	drainSeconds     = 60
	backendEngine    = "engine"
	backendPlain     = "plain"
	roleEntry        = "entry"
	roleBackend      = "backend"
)

// addresses hands out free addresses and keeps the first error.
type addresses struct {
	err error
}

func (a *addresses) next() string {
	if a.err != nil {
		return ""
	}
	var address string
	address, a.err = FreeAddress()
	return address
}

// describe fixes the addresses and settings of every process.
func (c *Cluster) describe() error {
	var a addresses
	settings := server.Settings{
		TableAddress:   a.next(),
		ObjectAddress:  a.next(),
		VMListAddress:  a.next(),
		WeightsAddress: a.next(),
	}
	for i := range c.opts.Sides {
		s := c.describeSide(&a, fmt.Sprintf("side-%d", i+1), i)
		s.Settings.Pool = SampleEnginePool
		s.Settings.Backend = side.BackendSetting{Kind: backendEngine, MemoryBytes: c.opts.MemoryBytes, Fencing: true}
		settings.Engines = append(settings.Engines, server.EngineSetting{
			Name: s.Name, Address: s.backend, MemoryBytes: c.opts.MemoryBytes, Fencing: true, TimeScale: c.opts.TimeScale,
		})
		c.sides = append(c.sides, s)
	}
	for i := range c.opts.Plain {
		s := c.describeSide(&a, fmt.Sprintf("plain-%d", i+1), i)
		s.Settings.Pool = SamplePlainPool
		s.Settings.Backend = side.BackendSetting{Kind: backendPlain}
		settings.Plain = append(settings.Plain, server.PlainSetting{Name: s.Name, Address: s.backend})
		c.plain = append(c.plain, s)
	}
	c.StandIn = &StandIn{Process: &Process{Name: "standin"}, Settings: settings}
	if c.opts.EditStandIn != nil {
		c.opts.EditStandIn(&c.StandIn.Settings)
	}
	for i := range c.opts.Entries {
		c.entries = append(c.entries, c.describeEntry(&a, fmt.Sprintf("entry-%d", i+1), i))
	}
	if a.err != nil {
		return a.err
	}
	return c.join()
}

func (c *Cluster) describeSide(a *addresses, name string, i int) *Side {
	zone := c.opts.zone(i)
	s := &Side{Process: &Process{Name: name}, backend: a.next()}
	s.Settings = side.Settings{
		Name: name, Region: zone.Region, Zone: zone.Name,
		DataAddress: a.next(), RPCAddress: a.next(), AdminAddress: a.next(),
		DeploymentKeyFile: c.key, DrainSeconds: drainSeconds,
	}
	return s
}

func (c *Cluster) describeEntry(a *addresses, name string, i int) *Entry {
	zone := c.opts.zone(i)
	e := &Entry{Process: &Process{Name: name}}
	e.Settings = entry.Settings{
		Name: name, Region: zone.Region, Zone: zone.Name,
		CallerAddress: a.next(), AdminAddress: a.next(), RPCAddress: a.next(),
		DeploymentKeyFile: c.key, DrainSeconds: drainSeconds,
		Table:   store.TableSettings{Name: tableName},
		Objects: store.ObjectSettings{Bucket: bucketName},
		VMList:  store.VMSettings{IntervalMS: vmListIntervalMS},
	}
	return e
}

// join gives each process the addresses of the others, through proxies where
// there are any, and takes every VM into the VM list.
func (c *Cluster) join() error {
	for i, s := range c.sides {
		if c.opts.EditSide != nil {
			c.opts.EditSide(i+1, &s.Settings)
		}
	}
	for _, s := range c.Sides() {
		if err := c.link(&s.Settings.Backend.URL, s.Name, Backend, s.backend); err != nil {
			return err
		}
		s.Settings.Table = &store.TableSettings{Name: tableName}
		if err := c.link(&s.Settings.Table.URL, s.Name, Table, c.StandIn.Settings.TableAddress); err != nil {
			return err
		}
		c.vms[s.Name] = store.VM{
			Name: s.Name, Role: roleBackend, Zone: s.Settings.Zone, Pool: s.Settings.Pool, State: store.VMLive,
			DataAddress: s.Settings.DataAddress, RPCAddress: s.Settings.RPCAddress,
		}
	}
	var err error
	if c.views, err = newViews(c.StandIn.Settings.VMListAddress, c.opts.Proxies); err != nil {
		return err
	}
	for i, e := range c.entries {
		if err := c.joinEntry(i, e); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) joinEntry(i int, e *Entry) error {
	s := &e.Settings
	links := []struct {
		url *string
		to  string
		at  string
	}{
		{&s.Table.URL, Table, c.StandIn.Settings.TableAddress},
		{&s.Objects.URL, Objects, c.StandIn.Settings.ObjectAddress},
		{&s.VMList.URL, VMList, c.views.address},
	}
	for _, l := range links {
		if err := c.link(l.url, e.Name, l.to, l.at); err != nil {
			return err
		}
	}
	s.VMList.URL += "/" + e.Name
	if c.opts.EditEntry != nil {
		c.opts.EditEntry(i+1, s)
	}
	c.vms[e.Name] = store.VM{
		Name: e.Name, Role: roleEntry, Zone: s.Zone, State: store.VMLive,
		DataAddress: s.CallerAddress, RPCAddress: s.RPCAddress,
	}
	return nil
}

// link sets url to the upstream address, or to a proxy before it.
func (c *Cluster) link(url *string, from, to, upstream string) error {
	if c.opts.Proxies != nil {
		through, err := c.opts.Proxies.Open(from, to, ChannelData, upstream)
		if err != nil {
			return err
		}
		upstream = through
	}
	*url = "http://" + upstream
	return nil
}

// launch writes the settings file of a process and starts it.
func (c *Cluster) launch(p *Process, program string, settings any) error {
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(c.dir, p.Name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	p.Path = filepath.Join(c.bin, program)
	p.Args = []string{"--settings", file}
	p.Env = c.opts.Env
	return p.Start()
}
