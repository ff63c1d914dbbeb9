package jvsetting

import (
	"os"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// Relay holds jasminevale's own settings of a router that runs on an outside platform. The platform
// sets the rest in a file of its own format.
type Relay struct {
	Operations Operations `json:"operations"`
	Budget     Budget     `json:"budget"`
	Retry      Retry      `json:"retry"`
	Hedge      Hedge      `json:"hedge"`
	Log        Log        `json:"log"`
}

// Operations configures the port for metrics and the dump, on the VM's own address.
type Operations struct {
	Port int64 `json:"port"`
}

// Budget configures how much of the prepaid budgets routers hold.
type Budget struct {
	// HorizonSeconds is the time for which a router holds tokens ahead, at recent demand, so that it
	// can serve while it is disconnected.
	HorizonSeconds int64 `json:"horizon"`
	// MaxHeldPercent is the maximum percentage of an unspent budget that all routers hold together,
	// PriorPercent the percentage that they hold before any demand is known.
	MaxHeldPercent int64 `json:"ahead"`
	PriorPercent   int64 `json:"prior"`
	// Holders is the number of routers that hold the budgets in a fleet of more routers. If it is 0, each router
	// holds a part of each budget.
	Holders int64 `json:"holders"`
}

// Retry configures the retry budget of a pool.
type Retry struct {
	// SharePercent is the number of retries allowed for each hundred requests of a pool.
	SharePercent int64 `json:"share"`
	// MaxSaved is the maximum number of unused retries that a router saves for later.
	MaxSaved int64 `json:"saved"`
}

// Hedge configures extra attempts for requests whose target has not answered yet.
type Hedge struct {
	// Percent is the number of extra attempts for each hundred requests of a pool; 0 is none.
	Percent int64 `json:"percent"`
	// DelayMillis is how many milliseconds the first attempt may take at least.
	DelayMillis int64 `json:"delay"`
}

// Bounds of settings. A horizon of a few minutes already covers a whole budget.
const (
	minPort           = 1024
	maxPort           = 65535
	maxHorizonSeconds = 600
	maxPercent        = 100
	maxHolders        = 1000
	maxSavedRetries   = 10_000
	maxHedgePercent   = 10
	maxHedgeDelay     = 10_000
	maxLogLevel       = 1
)

// ReadRelay reads, decodes and validates a settings file.
func ReadRelay(path string) (Relay, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Relay{}, jvfault.New("read settings", KindFile, err)
	}
	return ParseRelay(body)
}

// ParseRelay decodes and validates settings. The error lists all problems.
func ParseRelay(body []byte) (Relay, error) {
	const op = "read settings"
	r, err := jvconfig.Parse[Relay](op, body)
	if err != nil {
		return r, jvfault.New(op, KindInvalid, err)
	}
	var p jvconfig.Problems
	p.CheckRange("operations.port", r.Operations.Port, minPort, maxPort)
	p.CheckRange("budget.horizon", r.Budget.HorizonSeconds, 1, maxHorizonSeconds)
	p.CheckRange("budget.ahead", r.Budget.MaxHeldPercent, 1, maxPercent)
	p.CheckRange("budget.prior", r.Budget.PriorPercent, 0, maxPercent)
	p.CheckRange("budget.holders", r.Budget.Holders, 0, maxHolders)
	p.CheckRange("retry.share", r.Retry.SharePercent, 0, maxPercent)
	p.CheckRange("retry.saved", r.Retry.MaxSaved, 0, maxSavedRetries)
	p.CheckRange("hedge.percent", r.Hedge.Percent, 0, maxHedgePercent)
	if r.Hedge.Percent != 0 || r.Hedge.DelayMillis != 0 { // Without extra attempts no delay is needed.
		p.CheckRange("hedge.delay", r.Hedge.DelayMillis, 1, maxHedgeDelay)
	}
	p.CheckRange("log.level", r.Log.Level, 0, maxLogLevel)
	if err := p.Err(op); err != nil {
		return r, jvfault.New(op, KindInvalid, err)
	}
	return r, nil
}
