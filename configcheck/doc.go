// Package configcheck examines a configuration before operators send it: values that no
// VM can use, entries that can never match, limits that contradict each other, and what
// differs from the configuration in force.
//
// It reads the product's own types and decides nothing about requests.
package configcheck
