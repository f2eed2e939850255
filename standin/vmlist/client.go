package vmlist

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"peridotchute.example/platform"
)

// Put sets the list of the stand-in that listens on address (IP:port).
func Put(ctx context.Context, address string, vms []platform.VM) error {
	body, err := json.Marshal(Control{VMs: platform.TargetGroups(vms)})
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
		return fmt.Errorf("VM list at %s answered %s", address, resp.Status)
	}
	return nil
}
