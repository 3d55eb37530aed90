// Package fleet starts the processes of an experiment and everything around
// them: the entry VMs' processes, the stand-in platform and backend servers, and
// the links between them on which faults can be set. It ends only processes
// that it started, by their process ID.
package fleet
