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
		{"an unused grant in full", Account{Granted: 10}, 10},
		{"reserved tokens are excluded", Account{Granted: 10, Reserved: 4}, 6},
		{"a loan before the log has it is excluded", Account{Borrowed: 5}, 0},
		{"a loan that the log has is included", Account{Borrowed: 5, LoggedLoans: 5}, 5},
		// Found by TestBudgetProperty with JV_SEED=7 JV_CHECKS=15000 JV_STEPS=600: the holding in
		// the log became negative.
		{"a granted token is excluded while an unlogged loan is spent", Account{Granted: 2, Returned: 1, Borrowed: 1, Spent: 1}, 0},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, c.account.Lendable()) })
	}
}
