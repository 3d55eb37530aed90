// Package fleet keeps what one VM knows of the others without asking the store:
// who they are, who was heard when, which VMs relay messages for their zone, and
// what share of the fleet this VM is connected with.
//
// Nothing is agreed between VMs. Each VM decides from what it hears whether it
// is a relay; more relays than wanted cost messages and nothing else.
package fleet
