package jvproperty

import (
	"flag"
	"os"
	"runtime"
	"strconv"
	"testing"

	"pgregory.net/rapid"
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

// Main runs a package's tests with the defaults of rapid's flags; it is called from TestMain. Each package that uses
// testing/synctest calls it.
func Main(m *testing.M) {
	flag.Parse()
	setDefaults()
	if raceDetector {
		// All timers of a synctest bubble share one context of the race detector, without a lock. Timers that are due when
		// they are set or polled run in that goroutine, so two processors corrupt the context, and the detector ends the run.
		runtime.GOMAXPROCS(1)
	}
	os.Exit(m.Run())
}

// setDefaults sets rapid's flags, except those on the command line.
func setDefaults() {
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
}

// CheckSeeded checks a property in a package whose TestMain does not call Main, with the defaults of rapid's flags and a
// part of the number of checks.
func CheckSeeded(t *testing.T, share float64, property func(t *rapid.T)) {
	t.Helper()
	setDefaults()
	checkShare(t, share, property)
}

// checkShare checks a property with a part of the number of checks.
func checkShare(t *testing.T, share float64, property func(t *rapid.T)) {
	t.Helper()
	checks := flag.Lookup("rapid.checks").Value.String()
	n, err := strconv.Atoi(checks)
	if err != nil {
		panic(err) // The flag is a number.
	}
	setFlag("rapid.checks", strconv.Itoa(max(int(share*float64(n)), 1)))
	defer setFlag("rapid.checks", checks)
	rapid.Check(t, property)
}

// CheckSlow checks a property whose cases take long, with a tenth of the number of checks.
func CheckSlow(t *testing.T, property func(t *rapid.T)) {
	t.Helper()
	const share = 0.1
	checkShare(t, share, property)
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err) // The flag is unknown, or an environment variable holds an invalid value.
	}
}
