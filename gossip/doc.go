// Package gossip exchanges messages between the VMs of a fleet. UDP datagrams carry
// counters, and the versions and ages of the sender's table copies. A VM pulls newer
// table copies from another VM over HTTP. Packages fleet, tally and catalog decide
// what the messages mean and which VMs send them.
//
// A VM sends a change of its counters to the relays of its zone. The relays send it
// to the VMs of the zone and to the relays of the other zones, which forward it to
// the VMs of theirs.
package gossip
