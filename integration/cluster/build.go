package cluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
)

// Program names.
const (
	ProgramEntry   = "peridotchute-entry"
	ProgramSide    = "peridotchute-side"
	ProgramStandIn = "peridotchute-standin"

	ProgramOperator = "peridotchute" // the operator CLI
)

var builtPrograms struct {
	once sync.Once
	dir  string
	err  error
}

// Programs builds the daemons, once per run of the calling binary, and returns
// their directory.
func Programs() (string, error) {
	builtPrograms.once.Do(func() { builtPrograms.dir, builtPrograms.err = buildPrograms() })
	return builtPrograms.dir, builtPrograms.err
}

// Main runs the tests of a package, removes the built programs, and exits.
func Main(m interface{ Run() int }) {
	code := m.Run()
	RemovePrograms()
	os.Exit(code)
}

// RemovePrograms deletes the programs that Programs built. Call it at the end of
// the run.
func RemovePrograms() {
	if builtPrograms.dir != "" {
		_ = os.RemoveAll(builtPrograms.dir)
	}
}

func buildPrograms() (string, error) {
	dir, err := os.MkdirTemp("", "peridotchute-programs-")
	if err != nil {
		return "", err
	}
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	for _, name := range []string{ProgramEntry, ProgramSide, ProgramStandIn, ProgramOperator} {
		args = append(args, "./cmd/"+name)
	}
	cmd := exec.Command("go", args...)
	cmd.Dir = workspaceDir()
	if out, err := cmd.CombinedOutput(); err != nil {
		return dir, fmt.Errorf("build the daemons in %s: %w\n%s", cmd.Dir, err, out)
	}
	return dir, nil
}

// workspaceDir returns the directory of go.work.
func workspaceDir() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(file), "..", "..")
}
