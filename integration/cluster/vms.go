package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"peridotchute.example/standin/vmlist"
	"peridotchute.example/store"
)

// SetVMState changes the state of a VM in the platform's list.
func (c *Cluster) SetVMState(name string, state store.VMState) error {
	c.mu.Lock()
	vm, ok := c.vms[name]
	if !ok {
		c.mu.Unlock()
		return fmt.Errorf("no VM has the name %q", name)
	}
	vm.State = state
	c.vms[name] = vm
	c.mu.Unlock()
	return c.publishVMs()
}

// RemoveVM removes a VM from the platform's list.
func (c *Cluster) RemoveVM(name string) error {
	c.mu.Lock()
	delete(c.vms, name)
	c.mu.Unlock()
	return c.publishVMs()
}

// publishVMs sends the VM list to the stand-in.
func (c *Cluster) publishVMs() error {
	c.mu.Lock()
	vms := make([]store.VM, 0, len(c.vms))
	for _, name := range slices.Sorted(maps.Keys(c.vms)) {
		vms = append(vms, c.vms[name])
	}
	c.mu.Unlock()
	control := vmlist.Control{VMs: store.TargetGroups(vms), LagMS: int(c.opts.VMListLag.Milliseconds())}
	return putJSON("http://"+c.StandIn.Settings.VMListAddress+"/control/vms", control)
}

// vmListProxy serves the platform's VM list. For each reader it replaces the VM
// addresses by those of the proxies between that reader and each VM.
type vmListProxy struct {
	address     string
	upstream    string
	proxies     Proxies
	server      *http.Server
	bytesServed atomic.Int64 // body bytes sent to all readers
}

// VMListBytes returns the number of bytes of the VM list that all entries have
// read.
func (c *Cluster) VMListBytes() int64 { return c.vmListProxy.bytesServed.Load() }

const vmListReadTimeout = 10 * time.Second

func newVMListProxy(upstream string, proxies Proxies) (*vmListProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &vmListProxy{address: ln.Addr().String(), upstream: "http://" + upstream + "/", proxies: proxies}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{reader}", v.serve)
	v.server = &http.Server{Handler: mux, ReadHeaderTimeout: vmListReadTimeout}
	go func() { _ = v.server.Serve(ln) }()
	return v, nil
}

func (v *vmListProxy) close() error { return v.server.Close() }

func (v *vmListProxy) serve(w http.ResponseWriter, r *http.Request) {
	groups, err := v.read(r.PathValue("reader"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	vmlist.ServeList(countingWriter{w, &v.bytesServed}, r, groups)
}

// countingWriter is an http.ResponseWriter that counts the bytes of the body.
type countingWriter struct {
	http.ResponseWriter
	bytesWritten *atomic.Int64
}

// Write writes p and counts the bytes written.
func (c countingWriter) Write(p []byte) (int, error) {
	n, err := c.ResponseWriter.Write(p)
	c.bytesWritten.Add(int64(n))
	return n, err
}

func (v *vmListProxy) read(reader string) ([]store.TargetGroup, error) {
	resp, err := get(v.upstream)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	groups := []store.TargetGroup{}
	if err := json.NewDecoder(resp.Body).Decode(&groups); err != nil {
		return nil, err
	}
	if v.proxies == nil {
		return groups, nil
	}
	for i := range groups {
		if err := v.rewrite(reader, &groups[i]); err != nil {
			return nil, err
		}
	}
	return groups, nil
}

func (v *vmListProxy) rewrite(reader string, g *store.TargetGroup) error {
	if g.Labels.Name == reader || len(g.Targets) != 1 {
		return nil
	}
	var dataErr, rpcErr error
	g.Targets[0], dataErr = v.proxies.Open(reader, g.Labels.Name, ChannelData, g.Targets[0])
	g.Labels.RPCAddress, rpcErr = v.proxies.Open(reader, g.Labels.Name, ChannelRPC, g.Labels.RPCAddress)
	return errors.Join(dataErr, rpcErr)
}
