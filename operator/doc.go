// Package operator is the operators' library over the administration API. A
// declaration is planned, printed with everything it would cause, and put in
// force by the digest of what was printed.
package operator
