package jvfault

import (
	stderrors "errors"
	"fmt"

	"github.com/pkg/errors"
)

// Error is a failed operation of a package; K is the type of the package's kinds of failure.
type Error[K ~string] struct {
	// Op is the operation that failed, such as "append" or "read settings".
	Op string
	// Kind is the class of the failure, which callers act on.
	Kind K
	// Err is the cause, or nil.
	Err error
}

// New returns an error of operation op that wraps err, which may be nil.
func New[K ~string](op string, kind K, err error) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: err}
}

// Newf returns an error of operation op with a formatted cause.
func Newf[K ~string](op string, kind K, format string, arguments ...any) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: errors.Errorf(format, arguments...)}
}

// Error returns the text "operation: kind: cause"; the cause is left out if there is none.
func (e *Error[K]) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause, or nil.
func (e *Error[K]) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error[K] in err's chain, or "" where there is none.
func KindOf[K ~string](err error) K {
	var e *Error[K]
	if stderrors.As(err, &e) {
		return e.Kind
	}
	return ""
}
