package jvsetting

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

const validRouter = `{
  "vm": "a1", "zone": "a", "address": "127.0.1.1",
  "callers": {"address": "127.0.1.1:7100"},
  "operators": {"address": "127.0.1.1:7101"},
  "peers": {"address": "127.0.1.1:7102", "secret": "secret"},
  "platform": {"url": "http://127.0.0.1:7000"},
  "limits": {}, "log": {"level": 0}
}`

func TestParseRouter(t *testing.T) {
	r, err := ParseRouter([]byte(validRouter))
	require.NoError(t, err)
	require.Equal(t, "fleet", r.Platform.Stream)
	require.Equal(t, int64(defaultStallSeconds), r.Limits.StallSeconds)
}

// TestParseRouterErrors guards the messages for invalid settings: all errors of a file are reported
// together, each with its path.
func TestParseRouterErrors(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct{ name, text string }{
		{"empty", ""},
		{"unknown field", strings.Replace(validRouter, `"vm"`, `"wm"`, 1)},
		{"wrong type", strings.Replace(validRouter, `"level": 0`, `"level": "loud"`, 1)},
		{"data after the end", validRouter + "{}"},
		{"everything missing", "{}"},
		{"several at once", strings.NewReplacer(`"a1"`, `"A 1"`, `http://`, `ftp://`, `"level": 0`, `"level": 7`, `127.0.1.1:7101`, `7101`).Replace(validRouter)},
		{"a machine that is too small", strings.Replace(validRouter, `"limits": {}`, `"limits": {"descriptors": 100, "memory": -1}`, 1)},
		{"TLS without a key", strings.Replace(validRouter, `"127.0.1.1:7100"`, `"127.0.1.1:7100", "tls": {"cert": "c"}`, 1)},
	} {
		_, err := ParseRouter([]byte(c.text))
		require.Error(t, err, c.name)
		b.WriteString("## " + c.name + "\n" + err.Error() + "\n")
	}
	goldie.New(t).Assert(t, "errors", []byte(b.String()))
}

// FuzzParseRouter guards against files that make the parser panic, and against a result that differs
// when an accepted file is parsed again.
func FuzzParseRouter(f *testing.F) {
	f.Add([]byte(validRouter))
	f.Add([]byte("{}"))
	f.Add([]byte(`{"vm":`))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := ParseRouter(data)
		if err != nil {
			return
		}
		again, err := ParseRouter(data)
		require.NoError(t, err)
		require.Equal(t, first, again)
	})
}
