// Package logging provides a logger for each part of the daemon. The messages of a
// part start with its name, so that an operator can search the log by part.
package logging
