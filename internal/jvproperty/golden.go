package jvproperty

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// recordsDir has a directory for each earlier release with the records and messages that it encoded.
const recordsDir = "testdata/records"

// CheckRecord checks that decode accepts what each earlier release encoded as name, and that encoded, what this one encodes
// of the same value, is what the latest of them did. JV_RECORDS names a release to write the file of.
func CheckRecord(t *testing.T, name string, encoded []byte, decode func(t *testing.T, data []byte)) {
	t.Helper()
	if release := os.Getenv("JV_RECORDS"); release != "" {
		dir := filepath.Join(recordsDir, release)
		require.NoError(t, os.MkdirAll(dir, 0o755))
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), encoded, 0o600))
	}
	files, err := filepath.Glob(filepath.Join(recordsDir, "*", name))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files { // In the order of the releases.
		data, err := os.ReadFile(f)
		require.NoError(t, err)
		t.Run(f, func(t *testing.T) { decode(t, data) })
		if f == files[len(files)-1] {
			require.Equal(t, data, encoded, "%s differs from what the latest release encodes", f)
		}
	}
}
