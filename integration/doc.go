// Package integration tests the daemons as real processes, with fault-injecting
// proxies between them.
package integration
