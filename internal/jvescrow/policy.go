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

// Want returns how much a claim asks for when one request needs need tokens.
func (p ClaimPolicy) Want(a Account, need int64) int64 {
	return max(need*p.Requests, a.Demand*p.Keep)
}

// Low tells whether an account should claim ahead of need, before a request has to wait.
func (p ClaimPolicy) Low(a Account, need int64) bool {
	return a.Demand > 0 && a.Available() < max(need*p.Requests/4, a.Demand)
}

// Surplus returns what an idle account gives back: all but a multiple of recent demand.
func (p ClaimPolicy) Surplus(a Account) int64 {
	return max(0, a.Lendable()-a.Demand*p.Keep)
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
