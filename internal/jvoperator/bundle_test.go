package jvoperator

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
)

const validBundle = `{
  "workspaces": [{"name": "bakers", "keys": ["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"], "services": ["desk"]}],
  "pools": [
    {"name": "engines", "kind": "engine", "targets": [{"name": "e1", "zone": "a", "address": "127.0.1.101:80", "slots": 16}]},
    {"name": "desk", "kind": "service", "deadline": 1000, "attempts": 2,
     "targets": [{"name": "d1", "zone": "a", "address": "127.0.1.201:80", "slots": 16}],
     "calls": [{"method": "POST", "prefix": "/bookings", "once": true}]}
  ],
  "profiles": [{"name": "drafts", "workspace": "bakers", "pool": "engines", "work": "draft", "model": "m",
    "output": 100, "deadline": 1000, "priority": 1, "attempts": 2, "ahead": 40}]
}`

// TestParseBundleErrors guards the messages for invalid configuration files: all errors of a file
// are reported together, each with its path.
func TestParseBundleErrors(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct{ name, text string }{
		{"unknown field", strings.Replace(validBundle, `"ahead"`, `"behind"`, 1)},
		{"several at once", strings.NewReplacer(`"draft"`, `"poem"`, `"slots": 16`, `"slots": 0`, `"/bookings"`, `"bookings"`, `"ahead": 40`, `"ahead": 400`).Replace(validBundle)},
		{"a key in place of its digest", strings.Replace(validBundle, "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855", "my-key", 1)},
		{"references to missing items", strings.NewReplacer(`"pool": "engines"`, `"pool": "desk"`, `"workspace": "bakers"`, `"workspace": "nobody"`, `"services": ["desk"]`, `"services": ["engines"]`).Replace(validBundle)},
	} {
		bundle, err := ParseBundle([]byte(c.text))
		if err == nil {
			err = bundle.CheckAgainst(jvconfig.NewCatalog())
		}
		require.Error(t, err, c.name)
		b.WriteString("## " + c.name + "\n" + err.Error() + "\n")
	}
	goldie.New(t).Assert(t, "errors", []byte(b.String()))
}

// FuzzParseBundle guards against files that make the parser or the checks panic.
func FuzzParseBundle(f *testing.F) {
	f.Add([]byte(validBundle))
	f.Add([]byte(`{"profiles":[{}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		b, err := ParseBundle(data)
		if err == nil {
			_ = b.CheckAgainst(jvconfig.NewCatalog())
		}
	})
}
