package jvconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strings"

	"github.com/jasminevale/jasminevale/internal/jvfault"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Problems collects the errors in a file so that all are reported at once.
type Problems struct {
	// lines holds one error each, as "path: message".
	lines []string
}

// Add adds an error about the value at path. The message says how to correct it.
func (p *Problems) Add(path, format string, arguments ...any) {
	p.lines = append(p.lines, path+": "+fmt.Sprintf(format, arguments...))
}

// CheckName adds an error if the name at path is not 1 to 63 lower-case letters, digits, dots,
// dashes or underscores that begin with a letter or digit.
func (p *Problems) CheckName(path, name string) {
	if !namePattern.MatchString(name) {
		p.Add(path, "%q is not a valid name: use 1 to 63 of a-z, 0-9, '.', '-', '_', beginning with a letter or digit", name)
	}
}

// CheckRange adds an error if the value at path is not in the range minimum to maximum, both included.
func (p *Problems) CheckRange(path string, value, minimum, maximum int64) {
	if value < minimum || value > maximum {
		p.Add(path, "%d is outside %d to %d", value, minimum, maximum)
	}
}

// Err returns all errors as one Error of KindInvalid, or nil if there are none.
func (p *Problems) Err(op string) error {
	if len(p.lines) == 0 {
		return nil
	}
	return jvfault.Newf(op, KindInvalid, "%s", strings.Join(p.lines, "\n"))
}

// Parse decodes one JSON value of type T. It rejects fields that T does not have and data after
// the value.
func Parse[T any](op string, body []byte) (T, error) {
	var v T
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, jvfault.New(op, KindMalformed, fmt.Errorf("%w (at byte %d)", err, d.InputOffset()))
	}
	if _, err := d.Token(); err != io.EOF {
		return v, jvfault.Newf(op, KindMalformed, "unexpected data after the end of the JSON value (at byte %d)", d.InputOffset())
	}
	return v, nil
}
