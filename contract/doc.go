// Package contract holds what operators and teams have agreed: teams with
// their rate, burst and weight, the keys that act for them, the routes they may
// use, and the services, backend servers and availability zones behind those
// routes. All of it together is one Configuration with one version.
//
// A Configuration is immutable once built. VMs replace it as a whole, so a
// request sees one version from start to end unless it asks for a newer one.
package contract
