// Package logging gives each part of the daemon a logger whose lines start with
// a fixed prefix, so that an operator can search the log by part.
package logging
