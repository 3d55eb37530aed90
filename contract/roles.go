package contract

import "almondstile/vm"

// OwnerRole is the role of owning a backend server: holding its slots, queue
// and connections. VMs of the server's zone come first.
func (s *Server) OwnerRole() vm.Role {
	return vm.Role{Kind: vm.ServerOwner, Name: string(s.ID), Zone: s.Zone}
}

// HomeRole is the role of a service's home, which decides on ejections.
func (id ServiceID) HomeRole() vm.Role {
	return vm.Role{Kind: vm.ServiceHome, Name: string(id)}
}
