package jvplatform

import "context"

// VMState is what the platform says of a VM.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMRole is what a VM is for.
type VMRole string

// Roles of VMs.
const (
	RoleEntry  VMRole = "entry"
	RoleTarget VMRole = "target"
)

// VM is one row of the platform's list; rows lag behind the truth.
type VM struct {
	Name  string  `json:"name"`
	Zone  string  `json:"zone"`
	Role  VMRole  `json:"role"`
	State VMState `json:"state"`
	// Address is the peers' host:port of an entry VM.
	Address string `json:"address"`
}

// VMs is the platform's VM list.
type VMs interface {
	// List returns all VMs that are live or leaving.
	List(ctx context.Context) ([]VM, error)
}
