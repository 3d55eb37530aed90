package fleet

import (
	"almondstile/contract"
	"almondstile/standin/netfault"
	"almondstile/store"
	"almondstile/vm"
)

// VMLink returns the name of a link over which other VMs reach a VM. Each VM has
// one link for control messages and one for forwarded requests.
func VMLink(id vm.ID, control bool) netfault.LinkName {
	if control {
		return netfault.LinkName("control/" + id)
	}
	return netfault.LinkName("forward/" + id)
}

// SetVMFault sets a fault on both links to a VM.
func (f *Fleet) SetVMFault(id vm.ID, d netfault.Direction, fault netfault.Fault) error {
	for _, control := range []bool{false, true} {
		link, err := f.Network.Link(VMLink(id, control))
		if err != nil {
			return err
		}
		link.SetFault(d, fault)
	}
	return nil
}

// SetServerFault sets a fault on the link to a backend server.
func (f *Fleet) SetServerFault(id contract.ServerID, d netfault.Direction, fault netfault.Fault) error {
	link, err := f.Network.Link(ServerLink(id))
	if err != nil {
		return err
	}
	link.SetFault(d, fault)
	return nil
}

// ResetServerLink resets all connections to a backend server.
func (f *Fleet) ResetServerLink(id contract.ServerID) error {
	link, err := f.Network.Link(ServerLink(id))
	if err != nil {
		return err
	}
	link.Reset()
	return nil
}

// ListVMs sets the platform's list of live VMs to all VMs of the fleet.
func (f *Fleet) ListVMs() {
	var list []store.ListedVM
	for _, id := range f.ids {
		list = append(list, store.ListedVM{ID: string(id)})
	}
	f.Platform.SetVMs(list)
}
