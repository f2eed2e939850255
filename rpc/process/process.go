// Package process sets up what entry and side processes have in common: identity
// and keys, the control listener, and sections of the administration listener.
package process

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"go.uber.org/fx"

	"peridotchute.example/common/admin"
	"peridotchute.example/common/keyfile"
	"peridotchute.example/common/tlsfile"
	"peridotchute.example/config"
	"peridotchute.example/config/configsync"
	"peridotchute.example/rpc"
)

// defaultDrainTimeout is the drain timeout if the settings do not set one.
const defaultDrainTimeout = 10 * time.Minute

// Secrets are the files that processes use to authenticate each other.
type Secrets struct {
	KeyFile string         // deployment key
	PeerTLS *tlsfile.Files // nil for plain TCP
}

// NewLocal reads the secrets and returns the rpc.Local of this process with a new
// incarnation.
func NewLocal(id rpc.Identity, secrets Secrets, holder *config.Holder) (rpc.Local, error) {
	key, err := keyfile.Read(secrets.KeyFile)
	if err != nil {
		return rpc.Local{}, err
	}
	conf, err := tlsfile.Mutual(secrets.PeerTLS)
	if err != nil {
		return rpc.Local{}, err
	}
	id.Incarnation = uuid.Must(uuid.NewV7()).String()
	return rpc.Local{Identity: id, Key: key, ConfigVersion: holder.Version, TLS: conf}, nil
}

// Serve registers hooks that start and stop the control listener with the
// application.
func Serve(lc fx.Lifecycle, server *rpc.Server, address string) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return server.Start(address) },
		OnStop:  func(context.Context) error { return server.Stop() },
	})
}

// RegisterAdmin adds the identity and the configuration versions to the state dump, and
// a readiness check that requires an active configuration.
func RegisterAdmin(a *admin.Server, local rpc.Local, holder *config.Holder, syncer *configsync.Syncer) {
	a.AddSection("identity", admin.DumpFunc(func() any { return local.Identity }))
	a.AddSection("config_version", admin.DumpFunc(func() any { return holder.Version() }))
	a.AddSection("config_peers", syncer)
	a.AddCheck("configuration", func() error {
		if holder.Version() == 0 {
			return errors.New("no configuration is active")
		}
		return nil
	})
}

// DrainTimeout returns the maximum duration of a graceful shutdown. 0 seconds mean the
// default.
func DrainTimeout(seconds int) time.Duration {
	if seconds > 0 {
		return time.Duration(seconds) * time.Second
	}
	return defaultDrainTimeout
}
