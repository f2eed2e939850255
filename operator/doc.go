// Package operator is the client library for the administration API. A change is
// made in two steps: Plan returns the effects of a declaration, and Accept
// activates the plan by its digest.
package operator
