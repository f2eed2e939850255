package port

import (
	"net"
	"os/exec"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAddressIsFreeWhileProcessesStart listens on each address at once, while other
// goroutines start processes.
func TestAddressIsFreeWhileProcessesStart(t *testing.T) {
	const starters, addresses = 4, 500
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(stop)
	for range starters {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("true").Run()
				}
			}
		})
	}
	taken := 0
	for range addresses {
		address, err := FreeAddress()
		assert.NilError(t, err)
		ln, err := net.Listen("tcp", address)
		if err != nil {
			taken++
			continue
		}
		assert.NilError(t, ln.Close())
	}
	assert.Equal(t, taken, 0, "of %d", addresses)
}
