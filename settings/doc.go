// Package settings reads the TOML settings of one VM.
//
// Load reports every fault in one run, each with the file, the key, the value
// and what is allowed, so that an operator corrects a file once. Secrets never
// appear in faults, in logs or in an encoded Settings value.
package settings
