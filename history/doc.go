// Package history models the history of the platform's store: the eras between the moments
// at which it went back to an older copy, and the positions in them.
//
// The store counts its versions within an era. When it goes back, a new era begins and
// versions are given out again, so versions of different eras say nothing about each other.
// All comparisons of positions are made here.
package history
