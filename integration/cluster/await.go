package cluster

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Limits of waiting for a condition.
const (
	awaitLimit = 60 * time.Second
	awaitPause = 20 * time.Millisecond
)

// TB is the part of testing.TB that the harness needs.
type TB interface {
	Helper()
	Cleanup(func())
	Failed() bool
	Logf(format string, args ...any)
	Fatalf(format string, args ...any)
}

// Await calls cond until it returns nil. It fails with the last error of cond
// after a generous limit.
func Await(cond func() error) error {
	deadline := time.Now().Add(awaitLimit)
	for {
		err := cond()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("still after %v: %w", awaitLimit, err)
		}
		time.Sleep(awaitPause)
	}
}

// Eventually fails the test when cond does not return nil within a generous limit.
func Eventually(t TB, cond func() error) {
	t.Helper()
	if err := Await(cond); err != nil {
		t.Fatalf("%v", err)
	}
}

// Ready returns a condition that holds when the process on the administration
// address says that it is ready.
func Ready(address string) func() error {
	client := &http.Client{Timeout: 2 * time.Second}
	return func() error {
		resp, err := client.Get("http://" + address + "/readyz")
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s is not ready: %s", address, resp.Status)
		}
		return nil
	}
}

// awaitReady waits for a process, and stops waiting when it has ended.
func awaitReady(p *Process, cond func() error) error {
	var gone error
	err := Await(func() error {
		if !p.Running() {
			gone = fmt.Errorf("%s ended with code %d", p.Name, p.ExitCode())
			return nil
		}
		return cond()
	})
	if err = errors.Join(gone, err); err != nil {
		return fmt.Errorf("%s is not ready: %w\n%s", p.Name, err, p.Stderr())
	}
	return nil
}
