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

// Module starts the stand-ins that the settings declare.
func Module(s Settings) fx.Option {
	return fx.Module("standin", fx.Supply(s), fx.Invoke(startPlatform, startEngines, startPlain, startAdmin, daemon.LogLifecycle))
}

func startPlatform(lc fx.Lifecycle, s Settings, log logrus.FieldLogger) {
	listen(lc, log, "table", s.TableAddress, table.New())
	listen(lc, log, "objects", s.ObjectAddress, objects.New())
	listen(lc, log, "vm_list", s.VMListAddress, vmlist.New())
	listen(lc, log, "weights", s.WeightsAddress, faults.Wrap(weights.New(s.Weights.options())))
}

func startEngines(lc fx.Lifecycle, s Settings, log logrus.FieldLogger) {
	for _, e := range s.Engines {
		listen(lc, log, e.Name, e.Address, faults.Wrap(engine.New(e.options(s.WeightsAddress))))
	}
}

func startPlain(lc fx.Lifecycle, s Settings, log logrus.FieldLogger) {
	for _, p := range s.Plain {
		listen(lc, log, p.Name, p.Address, faults.Wrap(plain.New()))
	}
}

// startAdmin runs last: when the admin listener responds, all stand-ins are
// listening.
func startAdmin(lc fx.Lifecycle, s Settings, log logrus.FieldLogger) {
	a := admin.NewServer()
	a.AddSection("settings", admin.DumpFunc(func() any { return s }))
	listen(lc, log, "admin", s.AdminAddress, a.Router())
}

func listen(lc fx.Lifecycle, log logrus.FieldLogger, name, address string, h http.Handler) {
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
