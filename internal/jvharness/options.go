package jvharness

import (
	"github.com/jasminevale/jasminevale/internal/jvconfig"
)

// Options are the size of a fleet.
type Options struct {
	// Bin is the folder of the programs, Dir that of settings and logs.
	Bin string
	Dir string
	// Zones names the availability zones; each has Routers entry VMs, Engines and Services.
	Zones    []string
	Routers  int
	Engines  int
	Services int
	// EngineFlags and PlatformFlags are passed to the stand-ins.
	EngineFlags   []string
	PlatformFlags []string
	ServiceFlags  []string
	// Limits are put into the routers' settings.
	Limits map[string]int64
	// Platform are further settings of the routers' platform part.
	Platform map[string]int64
	Profiles []jvconfig.Profile
}

// Names that the harness gives to what it makes.
const (
	Workspace = "bakers"
	Key       = "bakers-key"
	Pool      = "engines"
	Service   = "desk"
	// Other is a second workspace, which may use nothing of the first.
	Other    = "crofters"
	OtherKey = "crofters-key"
)

// DefaultOptions returns a fleet of six routers in three zones.
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

// Profile returns a profile whose model has its own name, so that the engines' counts by
// model are counts by profile.
func Profile(name string) jvconfig.Profile {
	return jvconfig.Profile{
		Name:           name,
		Workspace:      Workspace,
		Pool:           Pool,
		Work:           jvconfig.WorkQuick,
		Model:          name,
		MaxOutput:      64,
		DeadlineMillis: 20_000,
		Priority:       5,
		MaxAttempts:    3,
		AheadPercent:   20,
	}
}
