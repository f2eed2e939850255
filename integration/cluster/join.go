package cluster

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/sirupsen/logrus"

	"peridotchute.example/config"
	"peridotchute.example/config/configsync"
	"peridotchute.example/rpc"
)

// ConfigPeer is a connection of the calling process to the cluster in the role of an
// entry. It exchanges configurations and does nothing else.
type ConfigPeer struct {
	Holder *config.Holder
	peer   *rpc.Peer
}

// JoinAsEntry connects the calling process to an entry as a peer called name, bypassing
// any proxy, until ctx ends.
func (c *Cluster) JoinAsEntry(ctx context.Context, name string, to *Entry, log logrus.FieldLogger) (*ConfigPeer, error) {
	j := &ConfigPeer{Holder: config.NewHolder()}
	handlers := rpc.NewHandlers()
	syncer := configsync.New(rpc.RoleEntry, j.Holder, handlers, log)
	local := rpc.Local{
		Identity:      rpc.Identity{Name: name, Incarnation: name, Role: rpc.RoleEntry},
		Key:           deploymentKey,
		ConfigVersion: j.Holder.Version,
	}
	var err error
	if j.peer, err = rpc.Dial(ctx, to.Settings.RPCAddress, local, handlers); err != nil {
		return nil, err
	}
	syncer.Add(j.peer)
	go syncer.Run(ctx)
	return j, nil
}

// Close ends the connection.
func (j *ConfigPeer) Close() error { return j.peer.Close() }

// State returns one section of the state dump of the process with the given
// admin address.
func State[T any](adminAddress, section string) (T, error) {
	var value T
	resp, err := get("http://" + adminAddress + "/debug/state")
	if err != nil {
		return value, err
	}
	defer func() { _ = resp.Body.Close() }()
	var sections map[string]json.RawMessage
	if err := json.NewDecoder(resp.Body).Decode(&sections); err != nil {
		return value, err
	}
	raw, ok := sections[section]
	if !ok {
		return value, fmt.Errorf("the state dump of %s has no section %q", adminAddress, section)
	}
	return value, json.Unmarshal(raw, &value)
}

// ConfigVersion returns the active configuration version of a process.
func ConfigVersion(adminAddress string) (uint64, error) {
	return State[uint64](adminAddress, "config_version")
}

// AdminAddresses returns the admin addresses of the entries and the side
// processes.
func (c *Cluster) AdminAddresses() []string {
	var out []string
	for _, e := range c.entries {
		out = append(out, e.Settings.AdminAddress)
	}
	for _, s := range c.Sides() {
		out = append(out, s.Settings.AdminAddress)
	}
	return out
}
