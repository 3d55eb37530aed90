// Package fleet holds one VM's view of the other VMs, built from gossip messages
// without reading the store: the known VMs, the time of the last message of each,
// the relays of each zone, and the share of the fleet that this VM is connected
// with.
//
// The VMs run no consensus protocol. Each VM decides from the messages that it
// receives whether it is a relay. Surplus relays cost extra messages and do no
// other harm.
package fleet
