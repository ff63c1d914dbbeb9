package jvsetting

import (
	"os"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// Relay is the product's own settings of a router that runs on the users' platform; what the
// platform decides stands in a file of the platform's format.
type Relay struct {
	Operations Operations `json:"operations"`
	Budget     Budget     `json:"budget"`
	Retry      Retry      `json:"retry"`
	Log        Log        `json:"log"`
}

// Operations is the port for metrics and the dump, on the VM's own address.
type Operations struct {
	Port int64 `json:"port"`
}

// Budget is how prepaid budgets are placed on routers.
type Budget struct {
	// HorizonSeconds is how many seconds of demand a router holds, for the time that it may be cut off.
	HorizonSeconds int64 `json:"horizon"`
	// MaxHeldPercent is the percentage of an unspent budget that all routers hold together at most,
	// Prior the percentage that they hold before any demand is known.
	MaxHeldPercent int64 `json:"ahead"`
	PriorPercent   int64 `json:"prior"`
}

// Retry bounds second attempts.
type Retry struct {
	// SharePercent is the percentage of a pool's requests that may be sent once more.
	SharePercent int64 `json:"share"`
	// MaxSaved is how many of these a router saves up.
	MaxSaved int64 `json:"saved"`
}

// Bounds on settings. A horizon of some minutes holds all of a budget already.
const (
	leastPort    = 1024
	mostPort     = 65535
	mostHorizon  = 600
	wholePercent = 100
	mostSaved    = 10_000
	mostLevel    = 1
)

// ReadRelay reads and checks a settings file.
func ReadRelay(path string) (Relay, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Relay{}, jvfault.New("read settings", KindFile, err)
	}
	return ParseRelay(body)
}

// ParseRelay reads and checks settings, and tells everything that is wrong at once.
func ParseRelay(body []byte) (Relay, error) {
	const op = "read settings"
	r, err := jvconfig.Parse[Relay](op, body)
	if err != nil {
		return r, jvfault.New(op, KindInvalid, err)
	}
	var p jvconfig.Problems
	p.CheckRange("operations.port", r.Operations.Port, leastPort, mostPort)
	p.CheckRange("budget.horizon", r.Budget.HorizonSeconds, 1, mostHorizon)
	p.CheckRange("budget.ahead", r.Budget.MaxHeldPercent, 1, wholePercent)
	p.CheckRange("budget.prior", r.Budget.PriorPercent, 0, wholePercent)
	p.CheckRange("retry.share", r.Retry.SharePercent, 0, wholePercent)
	p.CheckRange("retry.saved", r.Retry.MaxSaved, 0, mostSaved)
	p.CheckRange("log.level", r.Log.Level, 0, mostLevel)
	if err := p.Err(op); err != nil {
		return r, jvfault.New(op, KindInvalid, err)
	}
	return r, nil
}
