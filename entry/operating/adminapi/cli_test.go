package adminapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/operator/api"
	"peridotchute.example/operator/cli"
)

// shell runs the operators' command line against a fixture.
type shell struct {
	t   *testing.T
	url string
	dir string
}

func newShell(t *testing.T, f *fixture) *shell {
	s := &shell{t: t, url: startServer(t, f.router), dir: t.TempDir()}
	for _, key := range []string{readKey, planKey, acceptKey, "an unknown operator key"} {
		s.write(key, key+"\n")
	}
	return s
}

func (s *shell) write(name, text string) string {
	path := filepath.Join(s.dir, name)
	assert.NilError(s.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run returns the exit code, standard output and standard error.
func (s *shell) run(key string, args ...string) (int, string, string) {
	var out, progress bytes.Buffer
	root := cli.NewCommand()
	root.SetArgs(append(args, "--url", s.url, "--key-file", filepath.Join(s.dir, key)))
	root.SetOut(&out)
	root.SetErr(&progress)
	code := cli.Run(root, &progress)
	return code, out.String(), progress.String()
}

func TestCommandLine(t *testing.T) {
	f := newFixture(t)
	s := newShell(t, f)
	file := s.write("d.json", declarationFor(1)+" // declaration\n")
	bad := s.write("bad.json", strings.Replace(declarationFor(1), `"pool": "gpu"`, `"pool": "gpus"`, 1))

	code, out, _ := s.run(planKey, "plan", file)
	assert.Equal(t, code, cli.ExitOK)
	for _, part := range []string{"CONFIGURATION (version 1)", "+ models fly", "load  model/fly@1", "gpu   1        100 B", "WARNINGS", "DIGEST "} {
		assert.Assert(t, strings.Contains(out, part), "%q is not in\n%s", part, out)
	}
	code, out, _ = s.run(planKey, "plan", file, "--output", "json")
	assert.Equal(t, code, cli.ExitOK)
	var plan api.Plan
	assert.NilError(t, json.Unmarshal([]byte(out), &plan))

	tests := []struct {
		name string
		key  string
		args []string
		code int
		want string // part of stdout or stderr
	}{
		{"validate", readKey, []string{"validate", file}, cli.ExitOK, "the declaration is valid"},
		{"validate bad", readKey, []string{"validate", bad}, cli.ExitInvalid, bad + `:4: field "models[0].pool": pool "gpus" is not declared`},
		{"validate bad online", readKey, []string{"validate", "--online", bad}, cli.ExitInvalid, bad + `:4: field "models[0].pool": pool "gpus" is not declared`},
		{"plan bad", planKey, []string{"plan", bad}, cli.ExitInvalid, bad + ":4:"},
		{"no such file", planKey, []string{"plan", "none.json"}, cli.ExitInvalid, "none.json"},
		{"no argument", planKey, []string{"plan"}, cli.ExitInvalid, "want 1 arguments [FILE], have 0"},
		{"unknown command", planKey, []string{"apply", file}, cli.ExitInvalid, `unknown command "apply"`},
		{"flag", planKey, []string{"plan", "--force", file}, cli.ExitInvalid, "unknown flag"},
		{"output", planKey, []string{"status", "-o", "xml"}, cli.ExitInvalid, `--output is "xml"`},
		{"wrong role", readKey, []string{"plan", file}, cli.ExitRefused, `operator "rita" lacks the role "plan"`},
		{"unknown key", "an unknown operator key", []string{"status"}, cli.ExitRefused, "the operator key is not known"},
		{"unknown digest", acceptKey, []string{"accept", strings.Repeat("0", 64)}, cli.ExitNotFound, "plan first"},
		{"accept", acceptKey, []string{"accept", plan.Digest, "--wait", "0"}, cli.ExitOK, "accepted as version 1"},
		{"status", readKey, []string{"status"}, cli.ExitOK, "version 1 active at entry-1, 1 accepted last"},
		{"show", readKey, []string{"show"}, cli.ExitOK, `"version": 1,`},
		{"history", readKey, []string{"history"}, cli.ExitOK, "anna"},
		{"audit", readKey, []string{"audit"}, cli.ExitOK, "accept"},
		{"dump", readKey, []string{"dump"}, cli.ExitOK, "identity"},
		{"unresolved", readKey, []string{"unresolved"}, cli.ExitOK, "charge-1"},
		{"settle without note", acceptKey, []string{"settle", "shop", "charge-1", "--ran"}, cli.ExitInvalid, "--note"},
		{"settle", acceptKey, []string{"settle", "shop", "charge-1", "--ran", "--note", "seen"}, cli.ExitOK, "completed"},
		{"drain", acceptKey, []string{"drain", "gpu-1"}, cli.ExitOK, "3 requests in progress"},
		{"revert", planKey, []string{"revert", "1"}, cli.ExitOK, "DIFFERENCE to version 1\nnone"},
		{"completion", readKey, []string{"completion", "bash"}, cli.ExitOK, "__start_peridotchute"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			code, out, errOut := s.run(tc.key, tc.args...)
			assert.Equal(t, code, tc.code, errOut)
			assert.Assert(t, strings.Contains(out+errOut, tc.want), "%s%s", out, errOut)
			assert.Assert(t, !strings.Contains(out+errOut, tc.key) || tc.name == "unknown key")
		})
	}
}

func TestCommandLineShowsConflict(t *testing.T) {
	f := newFixture(t)
	s := newShell(t, f)
	f.acceptNew(1)
	stale := post[api.Plan](f, planKey, api.PathPlan, declarationFor(2), http.StatusOK)
	f.acceptNew(3)
	code, _, errOut := s.run(acceptKey, "accept", stale.Digest)
	assert.Equal(t, code, cli.ExitConflict)
	assert.Assert(t, strings.Contains(errOut, "~ teams shop: key_hashes:"), errOut)
}

const script = `
import sys
sys.path.insert(0, sys.argv[1])
import peridotchute as p
url, keys = sys.argv[2], sys.argv[3]
client = lambda key: p.Client(url, keys + "/" + key)
reader, planner, acceptor = client("%s"), client("%s"), client("%s")

d = p.Declaration()
d.region("east", zones=["e1"])
d.pool("gpu", memory_bytes=100, servers=1)
d.model("fly", version="1", pool="gpu", memory_bytes=60)
d.team("shop", key_hashes=[p.key_hash("caller key")])
plan = planner.plan(d)
p.print_plan(plan)
try:
    reader.plan(d)
    raise SystemExit("a reader planned")
except p.Refused as err:
    assert err.status == 403, err.status
assert acceptor.accept(plan["digest"])["version"] == 1
assert acceptor.accept(plan["digest"])["version"] == 1
assert reader.status()["version"] == 1
assert reader.follow(0) == []
assert reader.follow(1, timeout=0.1) == ["entry-1"]
edit = p.Declaration(reader.configuration())
edit.model("fly", version="2", pool="gpu", memory_bytes=30)
second = planner.plan(edit)
acceptor.accept(second["digest"])
edit.model("fly", version="3", pool="nowhere", memory_bytes=30)
try:
    planner.plan(edit)
    raise SystemExit("an unknown pool was planned")
except p.Invalid as err:
    assert err.problems[0]["field"] == "models[0].pool", err.problems
edit.model("fly", version="3", pool="gpu", memory_bytes=30)
try:
    planner.plan(edit)
    raise SystemExit("a stale edit was planned")
except p.Conflict as err:
    assert {c["field"] for c in err.difference} == {"version", "memory_bytes"}, err.difference
assert [h["version"] for h in reader.history()] == [2, 1]
assert reader.unresolved()[0]["key"] == "charge-1"
assert acceptor.settle("shop", "charge-1", True, "seen")["outcome"] == "completed"
assert acceptor.drain("gpu-1")["in_flight"] == 3
assert planner.revert(1)["revert_of"] == 1
assert len(reader.audit()) == 5, reader.audit()
try:
    p.Client("http://127.0.0.1:1", keys + "/%s").status()
    raise SystemExit("an unreachable address responded")
except p.Unavailable:
    pass
`

func TestPythonClient(t *testing.T) {
	python, err := exec.LookPath("python3")
	assert.NilError(t, err, "python3 is needed to test the Python client")
	f := newFixture(t)
	s := newShell(t, f)
	text := fmt.Sprintf(script, readKey, planKey, acceptKey, readKey)
	cmd := exec.Command(python, "-B", s.write("script.py", text), "../../../operator/python", s.url, s.dir)
	out, err := cmd.CombinedOutput()
	assert.NilError(t, err, string(out))
	for _, part := range []string{"CONFIGURATION (version 1)", "+ models fly", "load model/fly@1 on 1 servers", "DIGEST "} {
		assert.Assert(t, strings.Contains(string(out), part), "%q is not in\n%s", part, out)
	}
}
