package jvescrow

// ClaimPolicy decides the size of claims, returns and tranches of an account.
type ClaimPolicy struct {
	// ClaimRequests is the smallest claim, as a number of worst cases of a request.
	ClaimRequests int64
	// DemandMultiple is the multiple of recent demand that a claim asks for and that Surplus keeps.
	DemandMultiple int64
	// TrancheRequests is the size of a tranche, as a number of worst cases of a request.
	TrancheRequests int64
}

// DefaultClaimPolicy returns the default policy.
func DefaultClaimPolicy() ClaimPolicy {
	return ClaimPolicy{ClaimRequests: 16, DemandMultiple: 4, TrancheRequests: 16}
}

// Placement computes how much a VM should hold ahead of need so that it can serve through a
// partition: its share of the spending times the part of the unspent budget that the profile
// allows to be granted ahead.
type Placement struct {
	// Unspent is the prepaid budget less what is spent, in tokens.
	Unspent int64
	// OwnSpent and TotalSpent are the tokens that this VM and all VMs have spent so far.
	OwnSpent   int64
	TotalSpent int64
	// AheadPercent is the profile's percentage of the unspent budget.
	AheadPercent int64
}

// DesiredTokens returns the tokens that the VM should hold ahead of need.
func (p Placement) DesiredTokens() int64 {
	if p.TotalSpent <= 0 || p.Unspent <= 0 {
		return 0
	}
	share := float64(p.OwnSpent) / float64(p.TotalSpent)
	return int64(share * float64(p.Unspent) * float64(p.AheadPercent) / 100)
}

// ClaimSize returns the tokens that a claim asks for, where desired is Placement.DesiredTokens and a
// request needs need tokens.
func (p ClaimPolicy) ClaimSize(a Account, need, desired int64) int64 {
	return max(need*p.ClaimRequests, a.Demand*p.DemandMultiple, desired-a.Available())
}

// ShouldClaim reports whether an account should claim before a request has to wait.
func (p ClaimPolicy) ShouldClaim(a Account, need, desired int64) bool {
	if a.Demand == 0 {
		return false
	}
	return a.Available() < max(need*p.ClaimRequests/4, a.Demand, desired/2)
}

// Surplus returns the tokens that an idle account returns: all above both what it should hold
// ahead and the multiple of recent demand.
func (p ClaimPolicy) Surplus(a Account, desired int64) int64 {
	return max(0, a.Lendable()-max(a.Demand*p.DemandMultiple, desired))
}

// NextMark returns the mark to request from a witness next. It returns false if the current mark
// covers all tokens granted or borrowed and not returned, or if half a tranche or more is left
// below it.
func (p ClaimPolicy) NextMark(a Account, need int64) (int64, bool) {
	ceiling := a.Granted + a.Borrowed - a.Returned
	tranche := need * p.TrancheRequests
	if a.Mark >= ceiling || a.Mark-a.Committed() >= tranche/2 {
		return 0, false
	}
	return min(ceiling, a.Committed()+tranche), true
}
