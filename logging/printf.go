package logging

// NoPrintf is a logger for libraries that want one with Printf. It drops all
// lines: what matters of a connection is logged by the part that uses it.
type NoPrintf struct{}

// Printf does nothing.
func (NoPrintf) Printf(string, ...any) {}
