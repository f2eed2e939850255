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

// operatorFiles holds the paths of the development operator's key and of the
// entry's operator key file.
type operatorFiles struct {
	keyFile  string
	keysFile string
}

func writeOperatorFiles(dir string) (operatorFiles, error) {
	f := operatorFiles{keyFile: filepath.Join(dir, "operator.key"), keysFile: filepath.Join(dir, "operators.json")}
	key, err := randomKey()
	if err != nil {
		return f, err
	}
	if err := os.WriteFile(f.keyFile, []byte(key+"\n"), 0o600); err != nil {
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
	return f, os.WriteFile(f.keysFile, raw, 0o600)
}

func printOperatorHelp(out io.Writer, f operatorFiles) {
	fmt.Fprintf(out, `
Inspect and change the deployment as an operator (in another shell):

  export PERIDOTCHUTE_URL=http://%s PERIDOTCHUTE_KEY_FILE=%s
  peridotchute status
  peridotchute show > declaration.json    # edit it
  peridotchute plan declaration.json      # then accept the printed digest
`, adminAddress, f.keyFile)
}
