package jvharness

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvplatform"
)

// setVM replaces the entry of a VM on the VM list, or removes it where vm has no state.
func (c *Cluster) setVM(vm jvplatform.VM) error {
	c.mu.Lock()
	kept := []jvplatform.VM{}
	for _, v := range c.vms {
		if v.Name != vm.Name {
			kept = append(kept, v)
		}
	}
	if vm.State != "" {
		kept = append(kept, vm)
	}
	c.vms = kept
	c.mu.Unlock()
	return c.putVMs(kept)
}

// RemoveVM removes a VM from the VM list, as the platform does some time after the VM ends.
func (c *Cluster) RemoveVM(name string) error { return c.setVM(jvplatform.VM{Name: name}) }

// ListLeavingTarget puts a target on the VM list with the state "leaving".
func (c *Cluster) ListLeavingTarget(name, zone string) error {
	return c.setVM(jvplatform.VM{Name: name, Zone: zone, Role: jvplatform.RoleTarget, State: jvplatform.VMLeaving})
}

func (c *Cluster) putVMs(vms []jvplatform.VM) error {
	data, err := json.Marshal(vms)
	if err != nil {
		return errors.Wrap(err, "encode VM list")
	}
	request, err := http.NewRequest(http.MethodPut, c.PlatformURL()+"/admin/vms", bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "put VM list")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "put VM list")
	}
	return errors.Wrap(response.Body.Close(), "put VM list")
}

// WaitReady waits until all routers on the VM list are ready.
func (c *Cluster) WaitReady(ctx context.Context) error {
	c.mu.Lock()
	vms := append([]jvplatform.VM(nil), c.vms...)
	c.mu.Unlock()
	for _, v := range vms {
		if v.Role != jvplatform.RoleEntry {
			continue
		}
		for !c.isReady(v.Name) {
			if ctx.Err() != nil {
				return errors.Errorf("router %s did not become ready", v.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (c *Cluster) isReady(vm string) bool {
	response, err := http.Get(c.OperatorsURL(vm) + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
