package cluster

import (
	"fmt"
	"time"

	"peridotchute.example/config"
	"peridotchute.example/entry"
	"peridotchute.example/side"
	"peridotchute.example/standin/server"
)

// Zone is an availability zone with its region.
type Zone struct {
	Region string
	Name   string
}

// Channels of a link, as passed to Proxies.Open.
const (
	ChannelData = "data" // requests and responses
	ChannelRPC  = "rpc"  // control calls
)

// Names of the stand-ins, as passed to Proxies.Open.
const (
	Table   = "table"
	Objects = "objects"
	VMList  = "vmlist"
	Backend = "backend" // the engine or plain service of a side process
)

// Proxies opens a proxy on the link between two processes.
type Proxies interface {
	// Open returns the address to use in place of upstream.
	Open(from, to, channel, upstream string) (string, error)
}

// Options configure a cluster. The zero value means one entry and two model
// servers in one availability zone, without proxies.
type Options struct {
	Entries     int
	Sides       int                   // model servers, each with an engine
	Plain       int                   // backend servers with the sample plain service
	Zones       []Zone                // assigned to processes round-robin; default: SampleZones(1)
	MemoryBytes int64                 // of each engine; 0 means SampleMemoryBytes
	TimeScale   float64               // of the engines; 1 is real time, 0 means no delays
	VMListLag   time.Duration         // delay until the VM list shows a change
	Config      *config.Configuration // nil means Sample
	Proxies     Proxies               // nil means direct connections
	Env         []string              // added to the environment of every process
	Programs    string                // directory of built daemons; "" builds them

	EditEntry   func(i int, s *entry.Settings) // edits the settings before the start; i starts at 1
	EditSide    func(i int, s *side.Settings)  // as EditEntry, for model servers
	EditPlain   func(i int, s *side.Settings)  // as EditEntry, for servers of the plain service
	EditStandIn func(s *server.Settings)
}

func (o Options) withDefaults() Options {
	o.Entries = max(o.Entries, 1)
	if o.Sides == 0 && o.Plain == 0 {
		o.Sides = 2
	}
	if len(o.Zones) == 0 {
		o.Zones = SampleZones(1)
	}
	if o.MemoryBytes == 0 {
		o.MemoryBytes = SampleMemoryBytes
	}
	if o.Config == nil {
		o.Config = Sample(o.Zones)
	}
	return o
}

// SampleZones returns n availability zones, the first two in region north and
// the others in region south.
func SampleZones(n int) []Zone {
	out := make([]Zone, n)
	for i := range out {
		region := "north"
		if i >= 2 {
			region = "south"
		}
		out[i] = Zone{Region: region, Name: fmt.Sprintf("%s-%c", region, 'a'+i)}
	}
	return out
}

func (o Options) zone(i int) Zone { return o.Zones[i%len(o.Zones)] }
