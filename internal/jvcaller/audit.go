package jvcaller

// Audit compares the responses to callers with the budgets and with the engines' own counts.
type Audit struct {
	// Prepaid and Used are tokens by profile; Used is counted by the engines.
	Prepaid map[string]int64 `json:"prepaid"`
	Used    map[string]int64 `json:"used"`
	// Overspend is the number of tokens used beyond the prepaid ones, over all profiles.
	Overspend int64 `json:"overspend"`
	// FalseRefusals counts model jobs refused for their budget although the tokens left at the
	// end of the run, when the budget is at its lowest, cover their worst case.
	FalseRefusals int `json:"falserefusals"`
}

// NewAudit returns the audit of results, with the tokens prepaid and used by profile.
func NewAudit(results []Result, prepaid, used map[string]int64) Audit {
	a := Audit{Prepaid: prepaid, Used: used}
	for profile, tokens := range used {
		a.Overspend += max(0, tokens-prepaid[profile])
	}
	for _, r := range results {
		p := r.Job.Profile
		if r.Problem == "budget" && prepaid[p]-used[p] >= r.Job.WorstCase() {
			a.FalseRefusals++
		}
	}
	return a
}
