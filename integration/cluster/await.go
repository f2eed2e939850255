package cluster

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Timeout and polling interval of Await.
const (
	awaitTimeout  = 60 * time.Second
	awaitInterval = 20 * time.Millisecond
)

// TB is the subset of testing.TB that the harness uses.
type TB interface {
	Helper()
	Cleanup(func())
	Failed() bool
	Logf(format string, args ...any)
	Fatalf(format string, args ...any)
}

// Await polls cond until it returns nil. After awaitTimeout it returns the last
// error of cond.
func Await(cond func() error) error {
	deadline := time.Now().Add(awaitTimeout)
	for {
		err := cond()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("condition not met within %v: %w", awaitTimeout, err)
		}
		time.Sleep(awaitInterval)
	}
}

// Eventually fails the test when cond does not return nil within the timeout of
// Await.
func Eventually(t TB, cond func() error) {
	t.Helper()
	if err := Await(cond); err != nil {
		t.Fatalf("%v", err)
	}
}

// Ready returns a condition for Await that is met when the process with the
// given admin address reports that it is ready.
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

// awaitReady waits until cond is met. It returns an error early if the process
// exits.
func awaitReady(p *Process, cond func() error) error {
	var exitErr error
	err := Await(func() error {
		if !p.Running() {
			exitErr = fmt.Errorf("%s exited with code %d", p.Name, p.ExitCode())
			return nil
		}
		return cond()
	})
	if err = errors.Join(exitErr, err); err != nil {
		return fmt.Errorf("%s is not ready: %w\n%s", p.Name, err, p.Stderr())
	}
	return nil
}
