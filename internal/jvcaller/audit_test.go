package jvcaller

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAudit guards against an error of one token in judging a refusal: it is false if the tokens
// left cover the worst case of the refused job. It also checks the overspend.
func TestAudit(t *testing.T) {
	refused := Result{Job: Job{Kind: KindQuick, Profile: "p", MaxTokens: 50}, Outcome: "notrun", Problem: "budget"}
	need := refused.Job.WorstCase()
	for _, c := range []struct {
		name          string
		prepaid, used int64
		overspend     int64
		falseRefusals int
	}{
		{"enough was left", 1000, 1000 - need, 0, 1},
		{"one token too little was left", 1000, 1001 - need, 0, 0},
		{"overspent", 1000, 1010, 10, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := NewAudit([]Result{refused, {Outcome: "done"}}, map[string]int64{"p": c.prepaid}, map[string]int64{"p": c.used})
			require.Equal(t, c.overspend, a.Overspend)
			require.Equal(t, c.falseRefusals, a.FalseRefusals)
		})
	}
}
