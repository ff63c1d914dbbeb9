package jvharness

import (
	"fmt"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvoperator"
)

// bundle returns the configuration that the cluster starts with.
func (c *Cluster) bundle() jvoperator.Bundle {
	engines := jvconfig.Pool{Name: EnginePool, Kind: jvconfig.PoolEngine}
	service := jvconfig.Pool{
		Name:          Service,
		Kind:          jvconfig.PoolService,
		TimeoutMillis: 10_000,
		MaxAttempts:   3,
		Calls: []jvconfig.CallRule{
			{Method: "GET", Prefix: "/stock/"},
			{Method: "POST", Prefix: "/bookings", Once: true},
			{Method: "POST", Prefix: "/charges", Once: true},
		},
	}
	for _, zone := range c.Options.Zones {
		for n := 1; n <= c.Options.Engines; n++ {
			name := fmt.Sprintf("engine-%s%d", zone, n)
			engines.Targets = append(engines.Targets, jvconfig.Target{Name: name, Zone: zone, Address: c.addresses[name], Slots: 16})
		}
		for n := 1; n <= c.Options.Services; n++ {
			name := fmt.Sprintf("desk-%s%d", zone, n)
			service.Targets = append(service.Targets, jvconfig.Target{Name: name, Zone: zone, Address: c.addresses[name], Slots: 64})
		}
	}
	return jvoperator.Bundle{
		Workspaces: []jvconfig.Workspace{
			{Name: Workspace, Keys: []string{jvconfig.KeyDigest(Key)}, Services: []string{Service}},
			{Name: OtherWorkspace, Keys: []string{jvconfig.KeyDigest(OtherKey)}, Services: []string{}},
		},
		Pools:    []jvconfig.Pool{engines, service},
		Profiles: c.Options.Profiles,
	}
}

// Engines returns the targets of the engine pool, ordered by zone and number.
func (c *Cluster) Engines() []jvconfig.Target {
	for _, p := range c.bundle().Pools {
		if p.Name == EnginePool {
			return p.Targets
		}
	}
	return nil
}
