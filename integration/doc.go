// Package integration tests the daemons as real processes behind fault proxies.
package integration
