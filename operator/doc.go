// Package operator is under construction.
package operator
