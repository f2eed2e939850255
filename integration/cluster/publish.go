package cluster

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"peridotchute.example/config"
	"peridotchute.example/config/publish"
	"peridotchute.example/entry/serving/forward"
	"peridotchute.example/standin/faults"
)

// Publish accepts the configuration as the next version, bypassing any proxy and
// the admin API.
func (c *Cluster) Publish(ctx context.Context, declared *config.Configuration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted, err := publish.New(c.Table(), c.Objects()).Accept(ctx, publish.Change{
		Base:     c.version,
		Declared: declared,
		ChangeID: uuid.NewString(),
		Author:   "harness",
		At:       time.Now(),
	})
	if err != nil {
		return err
	}
	c.version = accepted.Version
	return nil
}

// Version returns the last version accepted by Publish.
func (c *Cluster) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// SetFaults sets the faults of the stand-in at address.
func (c *Cluster) SetFaults(address string, f faults.Settings) error {
	return putJSON("http://"+address+faults.Path, f)
}

// SetStoreDown makes the table service and the object store unavailable, or
// available again.
func (c *Cluster) SetStoreDown(down bool) error {
	for _, address := range []string{c.StandIn.Settings.TableAddress, c.StandIn.Settings.ObjectAddress} {
		if err := c.SetFaults(address, faults.Settings{Down: down}); err != nil {
			return err
		}
	}
	return nil
}

const warmDeadline = 30 * time.Second

// LoadModel makes a side process load a model of the cluster's configuration, by
// sending it a request for one token.
func (c *Cluster) LoadModel(s *Side, model string) error {
	resolved, ok := config.NewIndex(c.opts.Config).Resolve(model)
	if !ok {
		return fmt.Errorf("the configuration has no model %q", model)
	}
	f := forward.New(deploymentKey, nil)
	return Await(func() error {
		resp, err := f.Send(context.Background(), s.Settings.DataAddress, forward.Call{
			Method:      http.MethodPost,
			Path:        "/v1/completions",
			ContentType: "application/json",
			Body:        fmt.Appendf(nil, `{"model":%q,"prompt":"warm","max_tokens":1}`, model),
			RequestID:   "warm-" + s.Name,
			Artifact:    resolved.Artifact,
			Deadline:    time.Now().Add(warmDeadline),
		})
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			body, _ := io.ReadAll(resp.Body)
			return fmt.Errorf("load a model at %s: %s: %s", s.Name, resp.Status, strings.TrimSpace(string(body)))
		}
		return nil
	})
}
