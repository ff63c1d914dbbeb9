package jvescrow

// ClaimPolicy sizes claims and returns for one account.
type ClaimPolicy struct {
	// Requests is how many worst cases a claim asks for beyond recent demand.
	Requests int64
	// Keep is the multiple of recent demand that is kept; what is above it goes back.
	Keep int64
	// TrancheRequests is how many worst cases a mark is opened ahead.
	TrancheRequests int64
}

// DefaultClaimPolicy returns the policy of this release.
func DefaultClaimPolicy() ClaimPolicy {
	return ClaimPolicy{Requests: 16, Keep: 4, TrancheRequests: 16}
}

// Placement is what a VM should hold ahead of need so that it can serve through a partition:
// its share of recent use times the part of the unspent budget that the profile places ahead.
type Placement struct {
	// Unspent is the whole budget less what is spent, in tokens.
	Unspent int64
	// Own and All are what this VM and all VMs have spent so far.
	Own int64
	All int64
	// Ahead is the profile's percentage.
	Ahead int64
}

// Target returns the tokens that the VM should hold.
func (p Placement) Target() int64 {
	if p.All <= 0 || p.Unspent <= 0 {
		return 0
	}
	share := float64(p.Own) / float64(p.All)
	return int64(share * float64(p.Unspent) * float64(p.Ahead) / 100)
}

// Want returns how much a claim asks for when one request needs need tokens.
func (p ClaimPolicy) Want(a Account, need, target int64) int64 {
	return max(need*p.Requests, a.Demand*p.Keep, target-a.Available())
}

// Low tells whether an account should claim ahead of need, before a request has to wait.
func (p ClaimPolicy) Low(a Account, need, target int64) bool {
	if a.Demand == 0 {
		return false
	}
	return a.Available() < max(need*p.Requests/4, a.Demand, target/2)
}

// Surplus returns what an idle account gives back: all but what is placed ahead and a
// multiple of recent demand.
func (p ClaimPolicy) Surplus(a Account, target int64) int64 {
	return max(0, a.Lendable()-max(a.Demand*p.Keep, target))
}

// Mark returns the mark to ask of a witness next, and false where the open one suffices.
func (p ClaimPolicy) Mark(a Account, need int64) (int64, bool) {
	ceiling := a.Granted + a.In - a.Returned
	ahead := need * p.TrancheRequests
	if a.Mark >= ceiling || a.Mark-a.Use() >= ahead/2 {
		return 0, false
	}
	return min(ceiling, a.Use()+ahead), true
}
