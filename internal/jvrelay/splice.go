package jvrelay

import (
	"net/http"

	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// checkContinues returns an error if the caller's response has begun and the target's is not a stream of the same
// version: then nothing of it may be forwarded.
func (a *activeRequest) checkContinues(response *Response) error {
	const op = "continue stream"
	switch {
	case !a.headersSent:
		return nil
	case response.Status != http.StatusOK:
		return jvfault.Newf(op, KindFailed, "the target answered %d", response.Status)
	case !response.isStream():
		return jvfault.Newf(op, KindCrossed, "the target answered with the content type %q", response.Header.Get("Content-Type"))
	case a.version != a.origin.Version:
		return jvfault.Newf(op, KindCrossed, "the target has the version %q, not %q", a.version, a.origin.Version)
	}
	return nil
}
