// Package placement selects the backend server for a request from the statistics
// of the servers of its service.
//
// Many VMs choose at the same moment, with statistics that are a tenth of a second
// old. The choice is therefore random with weights, so that the VMs don't all send
// to the server that looked best. Every server keeps a small probability, so that
// a server that recovered gets requests again.
package placement
