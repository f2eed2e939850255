package vmlist

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"peridotchute.example/store"
)

// SetRemote replaces the VM list of the stand-in that listens on address (IP:port).
func SetRemote(ctx context.Context, address string, vms []store.VM) error {
	body, err := json.Marshal(Control{VMs: store.TargetGroups(vms)})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/control/vms", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("set the VM list at %s: %s", address, resp.Status)
	}
	return nil
}
