// Package fleet starts what an experiment needs: a process for each entry VM,
// stand-ins for the platform and the backend servers, and network links between
// them on which faults can be set. It ends only processes that it started, by
// their process ID.
package fleet
