// Package cli is the operators' command line. Its commands talk to the API of
// package operator; commands that do not, such as the daemon's, are passed to
// Run by the caller.
//
// Exit codes: 0 done, 1 failed or refused, 2 wrong usage or settings, 3 outcome unknown
// (ask again: a confirm may be repeated and never applies a plan twice).
package cli
