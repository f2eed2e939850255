package cluster

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"peridotchute.example/entry"
	"peridotchute.example/integration/port"
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

// addressAllocator allocates free addresses and records the first error.
type addressAllocator struct {
	err error
}

func (a *addressAllocator) next() string {
	if a.err != nil {
		return ""
	}
	var address string
	address, a.err = port.FreeAddress()
	return address
}

// configure chooses the addresses and settings of every process.
func (c *Cluster) configure() error {
	var a addressAllocator
	settings := server.Settings{
		TableAddress:   a.next(),
		ObjectAddress:  a.next(),
		VMListAddress:  a.next(),
		WeightsAddress: a.next(),
	}
	for i := range c.opts.Sides {
		s := c.configureSide(&a, fmt.Sprintf("side-%d", i+1), i)
		s.Settings.Pool = SampleEnginePool
		s.Settings.Backend = side.BackendSetting{Kind: backendEngine, MemoryBytes: c.opts.MemoryBytes, Fencing: true}
		settings.Engines = append(settings.Engines, server.EngineSetting{
			Name: s.Name, Address: s.backend, MemoryBytes: c.opts.MemoryBytes, Fencing: true, TimeScale: c.opts.TimeScale,
		})
		c.sides = append(c.sides, s)
	}
	for i := range c.opts.Plain {
		s := c.configureSide(&a, fmt.Sprintf("plain-%d", i+1), i)
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
		c.entries = append(c.entries, c.configureEntry(&a, fmt.Sprintf("entry-%d", i+1), i))
	}
	if a.err != nil {
		return a.err
	}
	return c.connect()
}

func (c *Cluster) configureSide(a *addressAllocator, name string, i int) *Side {
	zone := c.opts.zone(i)
	s := &Side{Process: &Process{Name: name}, backend: a.next()}
	s.Settings = side.Settings{
		Name: name, Region: zone.Region, Zone: zone.Name,
		DataAddress: a.next(), RPCAddress: a.next(), AdminAddress: a.next(),
		DeploymentKeyFile: c.keyFile, DrainSeconds: drainSeconds,
	}
	return s
}

func (c *Cluster) configureEntry(a *addressAllocator, name string, i int) *Entry {
	zone := c.opts.zone(i)
	e := &Entry{Process: &Process{Name: name}}
	e.Settings = entry.Settings{
		Name: name, Region: zone.Region, Zone: zone.Name,
		CallerAddress: a.next(), AdminAddress: a.next(), RPCAddress: a.next(),
		DeploymentKeyFile: c.keyFile, DrainSeconds: drainSeconds,
		Table:   store.TableSettings{Name: tableName},
		Objects: store.ObjectSettings{Bucket: bucketName},
		VMList:  store.VMSettings{IntervalMS: vmListIntervalMS},
	}
	return e
}

// connect sets the addresses of the services that each process uses, replaced by
// those of proxies if there are any, and adds every VM to the VM list.
func (c *Cluster) connect() error {
	for i, s := range c.sides {
		if c.opts.EditSide != nil {
			c.opts.EditSide(i+1, &s.Settings)
		}
	}
	for i, s := range c.plain {
		if c.opts.EditPlain != nil {
			c.opts.EditPlain(i+1, &s.Settings)
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
	if c.vmListProxy, err = newVMListProxy(c.StandIn.Settings.VMListAddress, c.opts.Proxies); err != nil {
		return err
	}
	for i, e := range c.entries {
		if err := c.connectEntry(i, e); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) connectEntry(i int, e *Entry) error {
	s := &e.Settings
	links := []struct {
		url      *string
		to       string
		upstream string
	}{
		{&s.Table.URL, Table, c.StandIn.Settings.TableAddress},
		{&s.Objects.URL, Objects, c.StandIn.Settings.ObjectAddress},
		{&s.VMList.URL, VMList, c.vmListProxy.address},
	}
	for _, l := range links {
		if err := c.link(l.url, e.Name, l.to, l.upstream); err != nil {
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

// link sets url to the upstream address, or to that of a proxy in front of it.
func (c *Cluster) link(url *string, from, to, upstream string) error {
	if c.opts.Proxies != nil {
		proxied, err := c.opts.Proxies.Open(from, to, ChannelData, upstream)
		if err != nil {
			return err
		}
		upstream = proxied
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
	p.Path = filepath.Join(c.programsDir, program)
	p.Args = []string{"--settings", file}
	p.Env = c.opts.Env
	return p.Start()
}
