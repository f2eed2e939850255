package dev

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"peridotchute.example/config"
	"peridotchute.example/entry/operating/adminapi"
	"peridotchute.example/operator/api"
)

// operatorFiles are where the key of the development operator and the entry's
// operator key file are written.
type operatorFiles struct {
	key  string
	keys string
}

func writeOperator(dir string) (operatorFiles, error) {
	f := operatorFiles{key: filepath.Join(dir, "operator.key"), keys: filepath.Join(dir, "operators.json")}
	key, err := randomKey()
	if err != nil {
		return f, err
	}
	if err := os.WriteFile(f.key, []byte(key+"\n"), 0o600); err != nil {
		return f, err
	}
	raw, err := json.Marshal(adminapi.KeyFile{Operators: []adminapi.Operator{{
		Name:      "dev",
		KeySHA256: config.HashKey(key),
		Roles:     []api.Role{api.RolePlan, api.RoleAccept},
	}}})
	if err != nil {
		return f, err
	}
	return f, os.WriteFile(f.keys, raw, 0o600)
}

func printOperatorHelp(out io.Writer, f operatorFiles) {
	fmt.Fprintf(out, `
Look at the deployment as an operator, then change it (in another shell):

  export PERIDOTCHUTE_URL=http://%s PERIDOTCHUTE_KEY_FILE=%s
  peridotchute status
  peridotchute show > declaration.json    # edit it
  peridotchute plan declaration.json      # then accept the digest that it prints
`, adminAddress, f.key)
}
