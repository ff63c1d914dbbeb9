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

// Problems collects what is wrong with a file, so that all of it is told at once.
type Problems struct {
	lines []string
}

// Add notes that the value at path is wrong, with the remedy in the message.
func (p *Problems) Add(path, format string, arguments ...any) {
	p.lines = append(p.lines, path+": "+fmt.Sprintf(format, arguments...))
}

// CheckName notes a name at path that is not 1 to 63 lower-case letters, digits, dots, dashes or underscores.
func (p *Problems) CheckName(path, name string) {
	if !namePattern.MatchString(name) {
		p.Add(path, "%q is not a name: use 1 to 63 of a-z, 0-9, '.', '-', '_', beginning with a letter or digit", name)
	}
}

// CheckRange notes a number at path that is outside least..most.
func (p *Problems) CheckRange(path string, value, least, most int64) {
	if value < least || value > most {
		p.Add(path, "%d is outside %d to %d", value, least, most)
	}
}

// Err returns all problems as one Error, or nil where there are none.
func (p *Problems) Err(op string) error {
	if len(p.lines) == 0 {
		return nil
	}
	return jvfault.Newf(op, KindInvalid, "%s", strings.Join(p.lines, "\n"))
}

// Parse reads one JSON value of type T and refuses fields that T does not have.
func Parse[T any](op string, body []byte) (T, error) {
	var v T
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return v, jvfault.New(op, KindMalformed, fmt.Errorf("%w (at byte %d)", err, d.InputOffset()))
	}
	if _, err := d.Token(); err != io.EOF {
		return v, jvfault.Newf(op, KindMalformed, "more after the end of the value (at byte %d)", d.InputOffset())
	}
	return v, nil
}
