package jvsetting

import (
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

const validRelay = `{
  "operations": {"port": 9464},
  "budget": {"horizon": 10, "ahead": 90, "prior": 50},
  "retry": {"share": 15, "saved": 5},
  "log": {"level": 0}
}`

func TestParseRelay(t *testing.T) {
	r, err := ParseRelay([]byte(validRelay))
	require.NoError(t, err)
	require.Equal(t, int64(10), r.Budget.HorizonSeconds)
	require.Zero(t, r.Hedge)
	r, err = ParseRelay([]byte(strings.Replace(validRelay, `"log"`, `"hedge": {"percent": 10, "delay": 250}, "log"`, 1)))
	require.NoError(t, err)
	require.Equal(t, Hedge{Percent: 10, DelayMillis: 250}, r.Hedge)
}

// TestDeployedSettings guards against a deployment whose settings file the router rejects.
func TestDeployedSettings(t *testing.T) {
	body, err := os.ReadFile("../../deploy/router.json")
	require.NoError(t, err)
	_, err = ParseRelay(body)
	require.NoError(t, err)
}

// TestParseRelayErrors guards the messages for invalid settings: all errors of a file are reported
// together, each with its path.
func TestParseRelayErrors(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct{ name, text string }{
		{"empty", ""},
		{"unknown field", strings.Replace(validRelay, `"horizon"`, `"horizont"`, 1)},
		{"wrong type", strings.Replace(validRelay, `"port": 9464`, `"port": "9464"`, 1)},
		{"everything missing", "{}"},
		{"hedge without a delay", strings.Replace(validRelay, `"log"`, `"hedge": {"percent": 11}, "log"`, 1)},
		{"hedge delay too long", strings.Replace(validRelay, `"log"`, `"hedge": {"delay": 10001}, "log"`, 1)},
		{"several at once", strings.NewReplacer("9464", "80", `"ahead": 90`, `"ahead": 0`, `"level": 0`, `"level": 9`).Replace(validRelay)},
	} {
		_, err := ParseRelay([]byte(c.text))
		require.Error(t, err, c.name)
		b.WriteString("== " + c.name + "\n" + err.Error() + "\n")
	}
	goldie.New(t).Assert(t, "relay", []byte(b.String()))
}
