// Package side is under construction.
package side
