package jvedge

import (
	"net/http"

	"github.com/jasminevale/jasminevale/internal/jvend"
)

// WithFraming returns a handler that begins a response whose framing shows an end, and has the rest written.
func WithFraming(length int, end jvend.End, write func(w http.ResponseWriter)) http.Handler {
	return withExchange(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		x := exchangeOf(r.Context())
		x.begin(http.StatusOK, length, end)
		x.WriteHeader(http.StatusOK)
		write(x)
	}))
}
