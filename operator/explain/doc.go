// Package explain tells the story of one request from the decision logs of
// several processes: what each decided about it, and the changes around it that
// bear on it, in one order although the clocks of the VMs differ.
package explain
