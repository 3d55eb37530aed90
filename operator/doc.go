// Package operator implements the HTTP API for operators: readiness for the load
// balancer, the status of the fleet, metrics, plans that change the
// configuration, and the discarding of VMs.
//
// The package only translates between HTTP and its dependencies: a Planner makes
// and confirms plans, a Fleet reports the status, and Members removes VMs from
// the member list. Every path except /ready needs a bearer token.
package operator
