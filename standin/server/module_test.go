package server

import (
	"net/http"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxtest"
	"gotest.tools/v3/assert"

	"peridotchute.example/standin/faults"
)

func TestEveryStandInTakesFaults(t *testing.T) {
	s := Settings{
		TableAddress:   "127.0.0.1:12101",
		ObjectAddress:  "127.0.0.1:12102",
		VMListAddress:  "127.0.0.1:12103",
		WeightsAddress: "127.0.0.1:12104",
		Engines:        []EngineSetting{{Name: "engine", Address: "127.0.0.1:12105", MemoryBytes: 1}},
		Plain:          []PlainSetting{{Name: "plain", Address: "127.0.0.1:12106"}},
	}
	app := fxtest.New(t, Module(s), fx.Provide(func() logrus.FieldLogger { return logrus.New() }))
	app.RequireStart()
	defer app.RequireStop()
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
