package cluster

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/sirupsen/logrus"

	"peridotchute.example/config"
	"peridotchute.example/config/spread"
	"peridotchute.example/rpc"
)

// Joined is the calling process as a further entry, which spreads
// configurations and does nothing else.
type Joined struct {
	Holder *config.Holder
	peer   *rpc.Peer
}

// Join connects the calling process to an entry, past any proxy, until ctx ends.
func (c *Cluster) Join(ctx context.Context, name string, to *Entry, log logrus.FieldLogger) (*Joined, error) {
	j := &Joined{Holder: config.NewHolder()}
	handlers := rpc.NewHandlers()
	spreader := spread.New(rpc.RoleEntry, j.Holder, handlers, log)
	local := rpc.Local{
		Identity:      rpc.Identity{Name: name, Incarnation: name, Role: rpc.RoleEntry},
		Key:           deploymentKey,
		ConfigVersion: j.Holder.Version,
	}
	var err error
	if j.peer, err = rpc.Dial(ctx, to.Settings.RPCAddress, local, handlers); err != nil {
		return nil, err
	}
	spreader.Add(j.peer)
	go spreader.Run(ctx)
	return j, nil
}

// Close ends the connection.
func (j *Joined) Close() error { return j.peer.Close() }

// State reads one section of a process's state dump. adminAddress is that of
// its administration listener.
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
		return value, fmt.Errorf("the dump of %s has no section %q", adminAddress, section)
	}
	return value, json.Unmarshal(raw, &value)
}

// ConfigVersion returns the version in force at a process.
func ConfigVersion(adminAddress string) (uint64, error) {
	return State[uint64](adminAddress, "config_version")
}

// AdminAddresses returns the administration listeners of the entries and the
// side processes.
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
