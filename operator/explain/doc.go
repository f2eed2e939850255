// Package explain reconstructs the timeline of one request from the decision logs
// of several processes: their decisions about the request and related changes of
// servers, models and configuration. It aligns the clocks of the processes, since
// the clocks of the VMs differ.
package explain
