// Package entry is under construction.
package entry
