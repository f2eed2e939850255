package integration

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/integration/cluster"
	"peridotchute.example/standin/faults"
)

func TestEveryStandInAcceptsFaults(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Sides: 1, Plain: 1})
	s := c.StandIn.Settings
	for _, address := range []string{s.TableAddress, s.ObjectAddress, s.VMListAddress, s.WeightsAddress, s.Engines[0].Address, s.Plain[0].Address} {
		req, err := http.NewRequest(http.MethodPut, "http://"+address+faults.Path, strings.NewReader(`{"down": true}`))
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusNoContent, address)
		resp, err = http.Post("http://"+address+"/v1/completions", "application/json", nil)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, address)
	}
}
