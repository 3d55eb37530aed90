package logging

// DiscardPrintf is a logger for libraries that require one with a Printf method. It drops
// all lines, because the part that uses a connection logs its errors.
type DiscardPrintf struct{}

// Printf does nothing.
func (DiscardPrintf) Printf(string, ...any) {}
