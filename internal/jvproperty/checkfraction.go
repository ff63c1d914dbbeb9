package jvproperty

import (
	"flag"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// CheckFraction checks a property with one in divisor of a run's checks, for variants of a property
// that is checked with all of them.
func CheckFraction(t *testing.T, divisor int, property func(t *rapid.T)) {
	t.Helper()
	all := flag.Lookup("rapid.checks").Value.String()
	checks, err := strconv.Atoi(all)
	if err != nil {
		t.Fatal(err)
	}
	setFlag("rapid.checks", strconv.Itoa(max(1, checks/divisor)))
	defer setFlag("rapid.checks", all)
	rapid.Check(t, property)
}
