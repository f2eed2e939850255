// Package cluster starts the daemons as processes of their own on 127.0.0.1,
// with settings files that it writes, and stops, kills, freezes and restarts
// them by process id. Tests and the measuring commands share it.
package cluster
