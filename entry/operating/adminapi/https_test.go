package adminapi

import (
	"encoding/pem"
	"net/http/httptest"
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/operator/cli"
)

const httpsScript = `
import sys
sys.path.insert(0, sys.argv[1])
import peridotchute as p
url, key, ca = sys.argv[2:5]
assert p.Client(url, key, ca_file=ca).status()["entry"] == "entry-1"
try:
    p.Client(url, key).status()
    raise SystemExit("an unknown authority was trusted")
except p.Unavailable as err:
    assert "CERTIFICATE_VERIFY_FAILED" in str(err), err
`

// TestClientsOverHTTPS calls the API with and without the certificate authority
// of its server.
func TestClientsOverHTTPS(t *testing.T) {
	f := newFixture(t)
	s := newShell(t, f)
	server := httptest.NewTLSServer(f.router)
	t.Cleanup(server.Close)
	s.url = server.URL
	ca := s.write("ca.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})))

	code, out, errOut := s.run(readKey, "status", "--ca-file", ca)
	assert.Equal(t, code, cli.ExitOK, errOut)
	assert.Assert(t, strings.Contains(out, "entry-1"))
	code, _, errOut = s.run(readKey, "status")
	assert.Equal(t, code, cli.ExitUnavailable)
	assert.Assert(t, strings.Contains(errOut, "unknown authority"), errOut)

	python, err := exec.LookPath("python3")
	assert.NilError(t, err, "python3 is needed to test the Python client")
	key := s.write("reader.key", readKey+"\n")
	cmd := exec.Command(python, "-B", s.write("https.py", httpsScript), "../../../operator/python", s.url, key, ca)
	text, err := cmd.CombinedOutput()
	assert.NilError(t, err, string(text))
}
