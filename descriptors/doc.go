// Package descriptors divides the file descriptors of a process among its connections, so
// that those of callers leave enough for the process's own. It is plain arithmetic, but for
// the number that the system allows.
package descriptors
