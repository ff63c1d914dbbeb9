package jvproperty

import (
	"flag"
	"os"
	"testing"
)

// defaults are the values of rapid's flags in CI. An environment variable replaces a default, and a
// flag on the command line replaces both.
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

// Main runs a package's tests with the defaults of rapid's flags; it is called from TestMain.
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
			setFlag(d.name, value)
		}
	}
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err) // The flag is unknown, or an environment variable holds an invalid value.
	}
}
