// Package settings reads the TOML settings of one VM.
//
// Load reports all faults of a file at once, so that an operator can correct them
// in one edit. Each fault names the file, the key, the value and the requirement
// that the value violates. Secrets never appear in faults, in logs or in an encoded
// Settings value.
package settings
