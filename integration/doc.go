// Package integration is under construction.
package integration
