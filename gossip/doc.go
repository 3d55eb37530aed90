// Package gossip carries messages between the VMs of a fleet: datagrams with
// counters and the age of what is known of the store, and HTTP pulls of table
// copies that are newer than one's own. What the messages mean and who sends
// them is decided in packages fleet, tally and catalog.
//
// Way of a change: a VM sends it to the relays of its zone; these send it to the
// zone's VMs and to the relays of the other zones, which pass it on in theirs.
package gossip
