// Package rollout moves the traffic of a service from the servers of one version to
// those of another, a share at a time, and back if the new version serves worse than
// the old one.
//
// The package decides; it knows neither HTTP nor a store.
package rollout
