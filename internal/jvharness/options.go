package jvharness

import (
	"github.com/jasminevale/jasminevale/internal/jvconfig"
)

// Options are the size and the settings of a cluster.
type Options struct {
	// Bin is the directory of the programs, RouterBin that of the routers' program if it is another one, Dir that of
	// settings and logs.
	Bin       string
	RouterBin string
	Dir       string
	// Zones are the names of the availability zones. Routers, Engines and Services are the
	// numbers of each in one zone.
	Zones    []string
	Routers  int
	Engines  int
	Services int
	// EngineFlags, PlatformFlags and ServiceFlags are passed to the stand-ins.
	EngineFlags   []string
	PlatformFlags []string
	ServiceFlags  []string
	// Limits is the "limits" part of the routers' settings.
	Limits map[string]int64
	// PlatformSettings are added to the "platform" part of the routers' settings.
	PlatformSettings map[string]int64
	Profiles         []jvconfig.Profile
}

// Names in the configuration of a cluster.
const (
	Workspace  = "bakers"
	Key        = "bakers-key"
	EnginePool = "engines"
	Service    = "desk"
	// OtherWorkspace has no access to the profiles and services of Workspace.
	OtherWorkspace = "crofters"
	OtherKey       = "crofters-key"
)

// DefaultOptions returns options for six routers in three zones.
func DefaultOptions(bin, dir string) Options {
	return Options{
		Bin:      bin,
		Dir:      dir,
		Zones:    []string{"a", "b", "c"},
		Routers:  2,
		Engines:  2,
		Services: 1,
		Profiles: []jvconfig.Profile{Profile("drafts"), Profile("quick"), Profile("chat")},
	}
}

// Profile returns a profile whose model has the same name, so that the engines' counts by
// model are also counts by profile.
func Profile(name string) jvconfig.Profile {
	return jvconfig.Profile{
		Name:          name,
		Workspace:     Workspace,
		Pool:          EnginePool,
		Work:          jvconfig.WorkQuick,
		Model:         name,
		MaxOutput:     64,
		TimeoutMillis: 20_000,
		Priority:      5,
		MaxAttempts:   3,
		AheadPercent:  20,
	}
}
