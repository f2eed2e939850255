// Package dev runs the whole system in one process on the loopback interface,
// with simulated platform services and backend servers.
package dev

import (
	"context"
	"crypto/rand"
	_ "embed"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/settings"
	"peridotchute.example/config"
	"peridotchute.example/config/publish"
	"peridotchute.example/entry"
	"peridotchute.example/side"
	"peridotchute.example/standin/server"
	"peridotchute.example/standin/vmlist"
	"peridotchute.example/store"
)

const (
	callerAddress     = "127.0.0.1:8080"
	adminAddress      = "127.0.0.1:8081"
	callerKey         = "dev-caller-key"
	zone              = "scot-east-a"
	region            = "scot-east"
	tableName         = "peridotchute"
	bucket            = "peridotchute"
	engineMemoryBytes = 24_000_000_000 // as declared in sample.json
	settleMS          = 500            // longest time an abandoned order may still take effect; the simulated engine starts orders at once
	readyPollInterval = 20 * time.Millisecond
	startTimeout      = 30 * time.Second
	stopTimeout       = 30 * time.Second
	keyBytes          = 32
)

//go:embed sample.json
var sample []byte

// Command returns the subcommand dev.
func Command() *cobra.Command {
	return &cobra.Command{
		Use:   "dev",
		Short: "Run the whole system on loopback with a simulated platform and backend servers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return Run(ctx, cmd.OutOrStdout())
		},
	}
}

// Run starts the system, prints example commands and stops the system when ctx
// ends.
func Run(ctx context.Context, out io.Writer) error {
	dir, err := os.MkdirTemp("", "peridotchute-dev-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	keyFile, err := writeDeploymentKey(dir)
	if err != nil {
		return err
	}
	operator, err := writeOperatorFiles(dir)
	if err != nil {
		return err
	}
	l, err := newLayout(keyFile)
	if err != nil {
		return err
	}
	l.entry.OperatorKeyFile = operator.keysFile
	stop, err := l.start(ctx)
	defer stop()
	if err != nil {
		return err
	}
	if err := l.awaitReady(ctx); err != nil {
		return err
	}
	printHelp(out)
	printOperatorHelp(out, operator)
	<-ctx.Done()
	return nil
}

func writeDeploymentKey(dir string) (string, error) {
	key, err := randomKey()
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "deployment.key")
	return path, os.WriteFile(path, []byte(key+"\n"), 0o600)
}

func randomKey() (string, error) {
	raw := make([]byte, keyBytes)
	_, err := rand.Read(raw)
	return hex.EncodeToString(raw), err
}

// layout holds the settings of all processes.
type layout struct {
	standIns server.Settings
	sides    []side.Settings
	entry    entry.Settings
}

func newLayout(keyFile string) (*layout, error) {
	ports, err := freeAddresses(16)
	if err != nil {
		return nil, err
	}
	next := func() string {
		p := ports[0]
		ports = ports[1:]
		return p
	}
	l := &layout{standIns: server.Settings{
		TableAddress:  next(),
		ObjectAddress: next(),
		VMListAddress: next(),
		Engines: []server.EngineSetting{
			{Name: "engine-1", Address: next(), MemoryBytes: engineMemoryBytes, TimeScale: 1},
			{Name: "engine-2", Address: next(), MemoryBytes: engineMemoryBytes, TimeScale: 1},
		},
		Plain: []server.PlainSetting{{Name: "bookings", Address: next()}},
	}}
	for i, e := range l.standIns.Engines {
		backend := side.BackendSetting{Kind: "engine", URL: "http://" + e.Address, MemoryBytes: engineMemoryBytes, SettleMS: settleMS}
		l.sides = append(l.sides, l.sideSettings(fmt.Sprintf("assistant-%d", i+1), "assistant", keyFile, backend, next))
	}
	plain := side.BackendSetting{Kind: "plain", URL: "http://" + l.standIns.Plain[0].Address}
	l.sides = append(l.sides, l.sideSettings("till-1", "till", keyFile, plain, next))
	l.entry = l.entrySettings(keyFile, next())
	return l, nil
}

func (l *layout) table() store.TableSettings {
	return store.TableSettings{URL: "http://" + l.standIns.TableAddress, Name: tableName}
}

func (l *layout) sideSettings(name, pool, keyFile string, backend side.BackendSetting, next func() string) side.Settings {
	table := l.table()
	return side.Settings{
		Name:              name,
		Region:            region,
		Zone:              zone,
		Pool:              pool,
		DataAddress:       next(),
		RPCAddress:        next(),
		AdminAddress:      next(),
		DeploymentKeyFile: keyFile,
		Backend:           backend,
		Table:             &table,
	}
}

func (l *layout) entrySettings(keyFile, rpcAddress string) entry.Settings {
	return entry.Settings{
		Name:              "entry-1",
		Region:            region,
		Zone:              zone,
		CallerAddress:     callerAddress,
		AdminAddress:      adminAddress,
		RPCAddress:        rpcAddress,
		DeploymentKeyFile: keyFile,
		Table:             l.table(),
		Objects:           store.ObjectSettings{URL: "http://" + l.standIns.ObjectAddress, Bucket: bucket},
		VMList:            store.VMSettings{URL: "http://" + l.standIns.VMListAddress, IntervalMS: 1000},
	}
}

// start starts the applications in order. It returns a function that stops the
// started ones in reverse order, also if an error is returned.
func (l *layout) start(ctx context.Context) (func(), error) {
	var apps []*fx.App
	stop := func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		for i := len(apps) - 1; i >= 0; i-- {
			_ = apps[i].Stop(ctx)
		}
	}
	run := func(module fx.Option) error {
		app := newApp(module)
		ctx, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		if err := app.Start(ctx); err != nil {
			return err
		}
		apps = append(apps, app)
		return nil
	}
	if err := run(server.Module(l.standIns)); err != nil {
		return stop, err
	}
	if err := l.seedPlatform(ctx); err != nil {
		return stop, err
	}
	for _, s := range l.sides {
		if err := run(side.Module(s)); err != nil {
			return stop, err
		}
	}
	return stop, run(entry.Module(l.entry))
}

// awaitReady waits until every process reports that it is ready.
func (l *layout) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	addresses := []string{l.entry.AdminAddress}
	for _, s := range l.sides {
		addresses = append(addresses, s.AdminAddress)
	}
	for _, address := range addresses {
		for !ready(ctx, address) {
			if err := clock.Sleep(ctx, readyPollInterval); err != nil {
				return fmt.Errorf("process with the administration address %s: not ready: %w", address, err)
			}
		}
	}
	return nil
}

func ready(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

func newApp(module fx.Option) *fx.App {
	log := logrus.New()
	log.SetLevel(logrus.WarnLevel)
	return fx.New(
		module,
		fx.Provide(func() logrus.FieldLogger { return log }),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
}

// seedPlatform fills the VM list and accepts the sample configuration.
func (l *layout) seedPlatform(ctx context.Context) error {
	var declared config.Configuration
	if err := settings.Decode("sample.json", sample, &declared); err != nil {
		return err
	}
	if err := vmlist.SetRemote(ctx, l.standIns.VMListAddress, l.vms()); err != nil {
		return err
	}
	table := store.NewTable(l.entry.Table)
	objects := store.NewObjects(l.entry.Objects)
	_, err := publish.New(table, objects).Accept(ctx, publish.Change{
		Declared: &declared,
		ChangeID: uuid.Must(uuid.NewV7()).String(),
		Author:   "dev",
		At:       time.Now(),
	})
	return err
}

func (l *layout) vms() []store.VM {
	var out []store.VM
	for _, s := range l.sides {
		out = append(out, store.VM{
			Name:        s.Name,
			Role:        "backend",
			Zone:        s.Zone,
			Pool:        s.Pool,
			DataAddress: s.DataAddress,
			RPCAddress:  s.RPCAddress,
			State:       store.VMLive,
		})
	}
	return out
}

// freeAddresses returns n loopback addresses with unused ports.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

func printHelp(out io.Writer) {
	fmt.Fprintf(out, `peridotchute is running on loopback; press Ctrl-C to stop it.

callers         http://%s
administration  http://%s

Ask a model for a streamed answer:

  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model": "fly-patterns", "stream": true, "max_tokens": 24, "messages": [{"role": "user", "content": "Which fly for the Tay in April?"}]}'

Book a fishing beat, executed at most once:

  curl -i http://%s/services/bookings/beats -H 'Authorization: Bearer %s' -H 'Idempotency-Key: booking-1' -d '{"beat": "Upper Murthly"}'
`, callerAddress, adminAddress, callerAddress, callerKey, callerAddress, callerKey)
}
