package jvplatform

import "context"

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMRole is the role of a VM.
type VMRole string

// Roles of VMs.
const (
	// RoleEntry VMs run routers.
	RoleEntry VMRole = "entry"
	// RoleTarget VMs run targets.
	RoleTarget VMRole = "target"
)

// VM is one row of the platform's VM list, which lags behind the VMs' actual state.
type VM struct {
	Name  string  `json:"name"`
	Zone  string  `json:"zone"`
	Role  VMRole  `json:"role"`
	State VMState `json:"state"`
	// Address is the host:port at which an entry VM serves its peers.
	Address string `json:"address"`
}

// VMs is the platform's VM list.
type VMs interface {
	// List returns all VMs that are live or leaving.
	List(ctx context.Context) ([]VM, error)
}
