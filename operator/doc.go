// Package operator serves the operators' listener: readiness for the balancer,
// the status of the fleet, metrics, and the plans by which operators change the
// configuration.
//
// It only translates between HTTP and the packages that decide: plans are made
// and confirmed by the Planner, and the status comes from the Fleet. Every path
// but /ready needs a bearer token.
package operator
