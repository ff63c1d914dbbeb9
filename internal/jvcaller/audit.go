package jvcaller

// Audit compares what callers were told with budgets and with what targets truly used.
type Audit struct {
	// Prepaid and Used are tokens by profile; Used is the engines' own count.
	Prepaid map[string]int64 `json:"prepaid"`
	Used    map[string]int64 `json:"used"`
	// Overspend is the tokens used beyond what was prepaid.
	Overspend int64 `json:"overspend"`
	// FalseRefusals counts model jobs that were refused for their budget although their worst
	// case fits in what is left of it at the end, when least is left.
	FalseRefusals int `json:"falserefusals"`
}

// NewAudit compares results with tokens prepaid and used by profile.
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
