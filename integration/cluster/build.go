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

	ProgramOperator = "peridotchute" // the operators' command line
)

var built struct {
	once sync.Once
	dir  string
	err  error
}

// Programs builds the daemons once for each run of the calling binary and
// returns the directory that holds them.
func Programs() (string, error) {
	built.once.Do(func() { built.dir, built.err = build() })
	return built.dir, built.err
}

// Main runs the tests of a package, removes what was built, and exits.
func Main(m interface{ Run() int }) {
	code := m.Run()
	RemovePrograms()
	os.Exit(code)
}

// RemovePrograms deletes what Programs built. Call it when the run ends.
func RemovePrograms() {
	if built.dir != "" {
		_ = os.RemoveAll(built.dir)
	}
}

func build() (string, error) {
	dir, err := os.MkdirTemp("", "peridotchute-programs-")
	if err != nil {
		return "", err
	}
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	for _, name := range []string{ProgramEntry, ProgramSide, ProgramStandIn, ProgramOperator} {
		args = append(args, "./cmd/"+name)
	}
	cmd := exec.Command("go", args...)
	cmd.Dir = workspace()
	if out, err := cmd.CombinedOutput(); err != nil {
		return dir, fmt.Errorf("build the daemons in %s: %w\n%s", cmd.Dir, err, out)
	}
	return dir, nil
}

// workspace returns the directory of go.work.
func workspace() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(file), "..", "..")
}
