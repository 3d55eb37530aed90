package contract

import "almondstile/vm"

// OwnerRole returns the role of the backend server's owner. The owner is the VM
// that manages the server's slots, queue and connections. VMs in the server's
// zone are preferred for the role.
func (s *Server) OwnerRole() vm.Role {
	return vm.Role{Kind: vm.ServerOwner, Name: string(s.ID), Zone: s.Zone}
}

// HomeRole returns the role of the service's home, the VM that decides which of
// the service's backend servers are ejected.
func (id ServiceID) HomeRole() vm.Role {
	return vm.Role{Kind: vm.ServiceHome, Name: string(id)}
}
