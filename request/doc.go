// Package request defines a caller's request and its result, independently of the
// protocols between callers, VMs and backend servers, and determines the outcome
// of a failed attempt.
//
// Two rules hold throughout the code base. A request that may have been executed
// is never sent again unless its route declares its method idempotent. A result
// has the outcome NotRun only if the request was certainly not executed.
package request
