// Package placement selects the backend server for a request from what is known
// of the servers of its service. It answers the load of a fleet in which many
// VMs choose at the same moment with knowledge that is a tenth of a second old:
// the choice is random with weights, so that not all VMs send to the server that
// looked best, and every server keeps a small chance, so that one that recovered
// is found.
package placement
