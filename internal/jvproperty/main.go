package jvproperty

import (
	"flag"
	"os"
	"testing"
)

// defaults are the numbers of a run in CI; the variable of the same name says others.
var defaults = []struct {
	variable string
	name     string
	value    string
}{
	{"JV_SEED", "rapid.seed", "20261204"},
	{"JV_CHECKS", "rapid.checks", "2000"},
	{"JV_STEPS", "rapid.steps", "250"},
	{"JV_NOFAILFILE", "rapid.nofailfile", "true"},
}

// Main runs a package's tests with rapid's numbers set; call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for _, d := range defaults {
		value := d.value
		if v := os.Getenv(d.variable); v != "" {
			value = v
		}
		if !given[d.name] {
			set(d.name, value)
		}
	}
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err) // Only a flag that rapid does not have gets here.
	}
}
