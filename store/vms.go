package store

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"

	"peridotchute.example/common/fault"
)

// maxListBytes limits the size of the VM list's response.
const maxListBytes = 16 << 20

// TargetGroup is one entry of Prometheus HTTP service discovery. The target
// is the VM's data address.
type TargetGroup struct {
	Targets []string `json:"targets"`
	Labels  VMLabels `json:"labels"`
}

// VMLabels are the labels that describe a VM.
type VMLabels struct {
	Name       string  `json:"name"`
	Role       string  `json:"role"`
	Zone       string  `json:"zone"`
	Pool       string  `json:"pool,omitempty"`
	RPCAddress string  `json:"rpc_address"`
	State      VMState `json:"state"`
}

// TargetGroups converts a VM list to its wire format.
func TargetGroups(vms []VM) []TargetGroup {
	out := make([]TargetGroup, 0, len(vms))
	for _, v := range vms {
		out = append(out, TargetGroup{
			Targets: []string{v.DataAddress},
			Labels: VMLabels{
				Name: v.Name, Role: v.Role, Zone: v.Zone, Pool: v.Pool,
				RPCAddress: v.RPCAddress, State: v.State,
			},
		})
	}
	return out
}

func (g TargetGroup) vm() (VM, error) {
	if len(g.Targets) != 1 || g.Labels.Name == "" {
		return VM{}, fmt.Errorf("entry %q has %d targets, want a name and one target", g.Labels.Name, len(g.Targets))
	}
	l := g.Labels
	return VM{
		Name: l.Name, Role: l.Role, Zone: l.Zone, Pool: l.Pool,
		DataAddress: g.Targets[0], RPCAddress: l.RPCAddress, State: l.State,
	}, nil
}

// httpVMs reads the list over HTTP with conditional requests (RFC 9110, section
// 13.1.2). If the server supports entity tags, it sends an unchanged list only once.
type httpVMs struct {
	url    string
	client *http.Client

	mu   sync.Mutex
	etag string // entity tag of vms; empty if the server sent none
	vms  []VM
}

// NewVMs returns a client of the VM list.
func NewVMs(s VMSettings) VMs {
	return &httpVMs{url: s.URL, client: &http.Client{Timeout: DefaultTimeout, Transport: newTransport()}}
}

const stepListVMs = "vms.list"

// List reads the list. It rejects the whole list if any part is invalid, because a
// truncated list would look as if VMs had been removed.
func (v *httpVMs) List(ctx context.Context) ([]VM, error) {
	tag, known := v.cached()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, v.url, nil)
	if err != nil {
		return nil, fault.New(fault.KindInvalid, stepListVMs, v.url, err)
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := v.client.Do(req)
	if err != nil {
		return nil, fault.New(fault.KindUnavailable, stepListVMs, v.url, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && tag != "" {
		return known, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fault.Newf(fault.KindUnavailable, stepListVMs, v.url, "status %d", resp.StatusCode)
	}
	vms, err := v.decode(resp.Body)
	if err == nil {
		v.setCached(resp.Header.Get("ETag"), vms)
	}
	return vms, err
}

func (v *httpVMs) cached() (tag string, vms []VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.etag, slices.Clone(v.vms)
}

func (v *httpVMs) setCached(tag string, vms []VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.etag, v.vms = tag, slices.Clone(vms)
}

func (v *httpVMs) decode(body io.Reader) ([]VM, error) {
	var groups []TargetGroup
	if err := json.NewDecoder(io.LimitReader(body, maxListBytes)).Decode(&groups); err != nil {
		return nil, fault.New(fault.KindUnavailable, stepListVMs, v.url, err)
	}
	out := make([]VM, 0, len(groups))
	for _, g := range groups {
		vm, err := g.vm()
		if err != nil {
			return nil, fault.New(fault.KindInvalid, stepListVMs, v.url, err)
		}
		out = append(out, vm)
	}
	return out, nil
}
