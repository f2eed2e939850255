package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/config"
	"peridotchute.example/entry"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/membership"
	"peridotchute.example/operator"
	"peridotchute.example/operator/api"
	"peridotchute.example/operator/cli"
	"peridotchute.example/standin/faults"
)

const (
	plannerKey  = "operator-key-that-plans"
	acceptorKey = "operator-key-that-accepts"
)

// operatorCLI runs the operators' command-line program as a process.
type operatorCLI struct {
	t       *testing.T
	program string
	dir     string
}

// newOperatorCLI writes the key files of two operators and the operators file for
// the entries to a temporary directory.
func newOperatorCLI(t *testing.T) *operatorCLI {
	bin, err := cluster.Programs()
	assert.NilError(t, err)
	s := &operatorCLI{t: t, program: filepath.Join(bin, cluster.ProgramOperator), dir: t.TempDir()}
	s.write(plannerKey, plannerKey)
	s.write(acceptorKey, acceptorKey)
	s.write("operators.json", fmt.Sprintf(`{"operators": [
		{"name": "paul", "key_sha256": %q, "roles": ["plan"]},
		{"name": "anna", "key_sha256": %q, "roles": ["accept"]}]}`, config.HashKey(plannerKey), config.HashKey(acceptorKey)))
	return s
}

func (s *operatorCLI) path(name string) string { return filepath.Join(s.dir, name) }

func (s *operatorCLI) write(name, text string) string {
	assert.NilError(s.t, os.WriteFile(s.path(name), []byte(text), 0o600))
	return s.path(name)
}

// setKeyFile sets the operators file in an entry's settings.
func (s *operatorCLI) setKeyFile(_ int, e *entry.Settings) {
	e.OperatorKeyFile = s.path("operators.json")
}

// commandResult is the exit code and output of a command.
type commandResult struct {
	code   int
	stdout string
	stderr string
}

func (s *operatorCLI) run(e *cluster.Entry, key string, args ...string) commandResult {
	var out, errOut bytes.Buffer
	cmd := exec.Command(s.program, append(args, "--url", e.AdminURL(), "--key-file", s.path(key))...)
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	assert.Check(s.t, err == nil || errors.As(err, &exit), "%v", err)
	return commandResult{code: cmd.ProcessState.ExitCode(), stdout: out.String(), stderr: errOut.String()}
}

// mustExit runs a command and fails the test unless it exits with the given code.
func (s *operatorCLI) mustExit(code int, e *cluster.Entry, key string, args ...string) commandResult {
	s.t.Helper()
	r := s.run(e, key, args...)
	assert.Equal(s.t, r.code, code, "%v: %s%s", args, r.stdout, r.stderr)
	return r
}

// plan plans the sample configuration with an added team and returns the plan's
// digest.
func (s *operatorCLI) plan(e *cluster.Entry, team string) string {
	s.t.Helper()
	declared := cluster.Sample(cluster.SampleZones(1))
	declared.Version = 0
	declared.Teams = append(declared.Teams, config.Team{Name: team, KeyHashes: []string{config.HashKey("caller key of " + team)}})
	raw, err := json.Marshal(declared)
	assert.NilError(s.t, err)
	file := s.write(team+".json", string(raw)+" // declaration\n")
	r := s.mustExit(cli.ExitOK, e, plannerKey, "plan", file, "--output", "json")
	var plan api.Plan
	assert.NilError(s.t, json.Unmarshal([]byte(r.stdout), &plan))
	return plan.Digest
}

func (s *operatorCLI) status(e *cluster.Entry) api.Status {
	s.t.Helper()
	r := s.mustExit(cli.ExitOK, e, plannerKey, "status", "-o", "json")
	var st api.Status
	assert.NilError(s.t, json.Unmarshal([]byte(r.stdout), &st))
	return st
}

// acceptResults returns the result of each accept of a digest from the audit
// records.
func (s *operatorCLI) acceptResults(e *cluster.Entry, digest string) []string {
	s.t.Helper()
	r := s.mustExit(cli.ExitOK, e, plannerKey, "audit", "-o", "json")
	var audit api.Audit
	assert.NilError(s.t, json.Unmarshal([]byte(r.stdout), &audit))
	var out []string
	for _, record := range audit.Records {
		if record.Action == "accept" && record.Subject == digest {
			out = append(out, record.Result)
		}
	}
	return out
}

// admitsTeam reports whether the entry admits a caller of the team.
func admitsTeam(t *testing.T, e *cluster.Entry, team string) bool {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, e.URL()+"/v1/models", nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer caller key of "+team)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func TestOperatorChangesWhileRunning(t *testing.T) {
	s := newOperatorCLI(t)
	c := cluster.Start(t, cluster.Options{Entries: 2, Sides: 2, Plain: 1, EditEntry: s.setKeyFile})
	first, second := c.Entry(1), c.Entry(2)

	t.Run("planned at one entry, accepted at the other, active everywhere", func(t *testing.T) {
		digest := s.plan(first, "ghillies")
		assert.Assert(t, !admitsTeam(t, first, "ghillies"), "planning alone admitted the team")
		s.mustExit(cli.ExitRefused, first, plannerKey, "accept", digest)
		r := s.mustExit(cli.ExitOK, second, acceptorKey, "accept", digest)
		assert.Assert(t, strings.Contains(r.stderr, "5 of 5 processes"), r.stderr)
		for _, e := range c.Entries() {
			assert.Assert(t, admitsTeam(t, e, "ghillies"))
		}
	})
	t.Run("a stale digest is refused with the difference", func(t *testing.T) {
		stale := s.plan(first, "hotels")
		s.mustExit(cli.ExitOK, first, acceptorKey, "accept", s.plan(first, "concierges"))
		r := s.mustExit(cli.ExitConflict, second, acceptorKey, "accept", stale)
		assert.Assert(t, strings.Contains(r.stderr, "+ teams concierges"), r.stderr)
		assert.Assert(t, !admitsTeam(t, second, "hotels"))
	})
	t.Run("one of two concurrent accepts succeeds", func(t *testing.T) {
		acceptConcurrently(t, s, first, second)
	})
	t.Run("store down during an accept", func(t *testing.T) {
		digest := s.plan(first, "tours")
		before := s.status(first).Version
		assert.NilError(t, c.StoreDown(true))
		s.mustExit(cli.ExitUnavailable, first, acceptorKey, "accept", digest)
		assert.Equal(t, s.status(second).Version, before)
		assert.NilError(t, c.StoreDown(false))
		s.mustExit(cli.ExitOK, first, acceptorKey, "accept", digest)
	})
	t.Run("response to the head write is lost", func(t *testing.T) {
		digest := s.plan(first, "weather")
		before := s.status(first).Head
		// The audit record and the delta are written before the head.
		lost := faults.Settings{Match: "PutItem", SkipNext: 2, LoseNext: 1}
		assert.NilError(t, c.Fault(c.StandIn.Settings.TableAddress, lost))
		s.mustExit(cli.ExitOK, first, acceptorKey, "accept", digest)
		assert.Equal(t, s.status(second).Head, before+1)
		assert.DeepEqual(t, s.acceptResults(first, digest), []string{"done"})
		s.mustExit(cli.ExitOK, second, acceptorKey, "accept", digest)
		assert.Equal(t, s.status(second).Head, before+1)
	})
	t.Run("a frozen entry is reported as behind", func(t *testing.T) {
		assert.NilError(t, second.Freeze())
		digest := s.plan(first, "lodges")
		r := s.mustExit(cli.ExitSpreading, first, acceptorKey, "accept", digest, "--wait", "3s")
		assert.Assert(t, strings.Contains(r.stderr, "1 processes have not put it in force yet: "+second.Name), r.stderr)
		assert.NilError(t, second.Resume())
		cluster.Eventually(t, func() error { return checkSpread(s.status(first)) })
		assert.Assert(t, admitsTeam(t, second, "lodges"))
	})
	t.Run("the entry that planned is killed", func(t *testing.T) {
		digest := s.plan(first, "anglers")
		assert.NilError(t, first.Kill())
		s.mustExit(cli.ExitOK, second, acceptorKey, "accept", digest, "--wait", "0")
		assert.Assert(t, admitsTeam(t, second, "anglers"))
	})
	t.Run("the entry is killed during an accept", func(t *testing.T) {
		assert.NilError(t, first.Start())
		cluster.Eventually(t, cluster.Ready(first.Settings.AdminAddress))
		killEntryDuringAccept(t, s, c)
	})
	t.Run("a drained server leaves", func(t *testing.T) {
		s.mustExit(cli.ExitOK, second, acceptorKey, "drain", c.Side(1).Name)
		cluster.Eventually(t, func() error { return checkMemberState(s.status(second), c.Side(1).Name, membership.StateLeaving) })
		s.mustExit(cli.ExitNotFound, second, acceptorKey, "drain", "no-such-server")
	})
	for _, key := range []string{plannerKey, acceptorKey} {
		assert.Assert(t, !strings.Contains(c.Output(), key), "an operator's key is in a log")
		assert.Assert(t, !strings.Contains(s.mustExit(cli.ExitOK, second, plannerKey, "dump").stdout, key))
	}
}

func acceptConcurrently(t *testing.T, s *operatorCLI, first, second *cluster.Entry) {
	const rounds = 10
	for round := range rounds {
		digests := []string{s.plan(first, fmt.Sprintf("left-%d", round)), s.plan(second, fmt.Sprintf("right-%d", round))}
		var codes [2]int
		var wg sync.WaitGroup
		for i, e := range []*cluster.Entry{first, second} {
			wg.Go(func() { codes[i] = s.run(e, acceptorKey, "accept", digests[i]).code })
		}
		wg.Wait()
		assert.Equal(t, codes[0]+codes[1], cli.ExitOK+cli.ExitConflict, "round %d: %v", round, codes)
	}
}

// killEntryDuringAccept kills an entry after it wrote the audit record of an
// accept and before the accept ended. The accept is repeated at another entry and
// must take effect once.
func killEntryDuringAccept(t *testing.T, s *operatorCLI, c *cluster.Cluster) {
	first, second := c.Entry(1), c.Entry(2)
	digest := s.plan(second, "rods")
	before := s.status(second).Head
	assert.NilError(t, c.Fault(c.StandIn.Settings.TableAddress, faults.Settings{SlowMS: 1000}))
	done := make(chan int, 1)
	go func() { done <- s.run(first, acceptorKey, "accept", digest).code }()
	cluster.Eventually(t, func() error { return checkAuditRecord(c, digest) })
	assert.NilError(t, first.Kill())
	assert.Equal(t, <-done, cli.ExitUnknown)
	assert.NilError(t, c.Fault(c.StandIn.Settings.TableAddress, faults.Settings{}))
	s.mustExit(cli.ExitOK, second, acceptorKey, "accept", digest, "--wait", "0")
	s.mustExit(cli.ExitOK, second, acceptorKey, "accept", digest, "--wait", "0")
	assert.Equal(t, s.status(second).Head, before+1)
}

// checkAuditRecord returns an error until an audit record mentions the digest.
func checkAuditRecord(c *cluster.Cluster, digest string) error {
	rows, err := c.Table().List(context.Background(), "audit/", "", 1000)
	if err != nil {
		return err
	}
	for _, row := range rows {
		if strings.Contains(string(row.Value), digest) {
			return nil
		}
	}
	return errors.New("no audit record")
}

// checkSpread returns an error while any process lacks the newest version.
func checkSpread(st api.Status) error {
	if spread := operator.SpreadOf(&st, st.Head); !spread.Done() {
		return fmt.Errorf("behind: %v", spread.Behind)
	}
	return nil
}

func checkMemberState(st api.Status, name string, want membership.State) error {
	for _, m := range st.Members {
		if m.Name == name && m.State == string(want) {
			return nil
		}
	}
	return fmt.Errorf("%s is not %s in %+v", name, want, st.Members)
}
