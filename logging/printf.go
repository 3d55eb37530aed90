package logging

// NoPrintf is a logger for libraries that require one with a Printf method. It drops
// all lines, because the part that uses a connection logs its errors.
type NoPrintf struct{}

// Printf does nothing.
func (NoPrintf) Printf(string, ...any) {}
