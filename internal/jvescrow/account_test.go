package jvescrow

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLendable(t *testing.T) {
	for _, c := range []struct {
		name    string
		account Account
		want    int64
	}{
		{"all of an unused grant", Account{Granted: 10}, 10},
		{"not what is reserved", Account{Granted: 10, Reserved: 4}, 6},
		{"not what was borrowed, before the log has it", Account{In: 5}, 0},
		{"what was borrowed, once the log has it", Account{In: 5, Logged: 5}, 5},
		// Found by TestBudgetProperty with JV_SEED=7 JV_CHECKS=15000 JV_STEPS=600.
		{"not a granted token beside a borrowed one that is spent", Account{Granted: 2, Returned: 1, In: 1, Spent: 1}, 0},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, c.account.Lendable()) })
	}
}
