package server

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"peridotchute.example/common/admin"
	"peridotchute.example/common/daemon"
	"peridotchute.example/standin/engine"
	"peridotchute.example/standin/faults"
	"peridotchute.example/standin/objects"
	"peridotchute.example/standin/plain"
	"peridotchute.example/standin/table"
	"peridotchute.example/standin/vmlist"
	"peridotchute.example/standin/weights"
)

// Module wires the stand-ins from their settings.
func Module(s Settings) fx.Option {
	return fx.Module("standin", fx.Supply(s), fx.Invoke(startPlatform, startEngines, startPlain, startAdmin, daemon.Announce))
}

func startPlatform(lc fx.Lifecycle, s Settings, log logrus.FieldLogger) {
	serve(lc, log, "table", s.TableAddress, table.New())
	serve(lc, log, "objects", s.ObjectAddress, objects.New())
	serve(lc, log, "vm_list", s.VMListAddress, vmlist.New())
	serve(lc, log, "weights", s.WeightsAddress, faults.Wrap(weights.New(s.Weights.options())))
}

func startEngines(lc fx.Lifecycle, s Settings, log logrus.FieldLogger) {
	for _, e := range s.Engines {
		serve(lc, log, e.Name, e.Address, faults.Wrap(engine.New(e.options(s.WeightsAddress))))
	}
}

func startPlain(lc fx.Lifecycle, s Settings, log logrus.FieldLogger) {
	for _, p := range s.Plain {
		serve(lc, log, p.Name, p.Address, faults.Wrap(plain.New()))
	}
}

// startAdmin comes last: once it answers, every stand-in listens.
func startAdmin(lc fx.Lifecycle, s Settings, log logrus.FieldLogger) {
	a := admin.NewServer()
	a.AddSection("settings", admin.DumpFunc(func() any { return s }))
	serve(lc, log, "admin", s.AdminAddress, a.Router())
}

func serve(lc fx.Lifecycle, log logrus.FieldLogger, name, address string, h http.Handler) {
	if address == "" {
		return
	}
	daemon.Serve(lc, log, daemon.Listener{Name: name, Address: address, Handler: h})
}

func (e EngineSetting) options(weightsAddress string) engine.Options {
	o := engine.Options{Name: e.Name, MemoryBytes: e.MemoryBytes, Fencing: e.Fencing, TimeScale: e.TimeScale, EventGap: e.EventGap}
	if weightsAddress != "" {
		o.Load = weights.Loader("http://"+weightsAddress, http.DefaultClient)
	}
	return o
}

func (w WeightsSetting) options() weights.Options {
	return weights.Options{
		LoadsPerSecond:  w.LoadsPerSecond,
		ConcurrentLoads: w.ConcurrentLoads,
		ModelTime:       time.Duration(w.ModelMS) * time.Millisecond,
		AdapterLoads:    w.AdapterLoads,
		FreeModels:      w.FreeModels,
		AdapterTime:     time.Duration(w.AdapterMS) * time.Millisecond,
		TimeScale:       w.TimeScale,
	}
}
