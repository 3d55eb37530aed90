// Package check decides from records whether the fleet kept its promises: from
// what callers saw, from what ran at the stand-in servers, and from what the
// experiment did and when. It asks the fleet nothing about itself, except for
// the version of the configuration that each VM reports.
//
// A check without any record to look at fails: an experiment that names a
// promise has to produce evidence for it.
package check
