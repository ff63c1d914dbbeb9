package jvedge

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvfleet"
	"github.com/jasminevale/jasminevale/internal/jvmemory"
)

// exchange is the HTTP request and response of one call of a service method. Goa's generated code
// does not pass them to the method.
type exchange struct {
	http.ResponseWriter
	request *http.Request
	// statusOverride, if not 0, replaces the status of the design: a plain service's own status.
	statusOverride int
	// lease holds the memory of the request's body; it may be nil.
	lease *jvmemory.Lease
	// closes is true if the response ends with its connection.
	closes bool
}

// begin sets the framing of a response that shows as much as its end can. A length of -1 means that it isn't known.
func (x *exchange) begin(status, length int, end jvend.End) {
	switch {
	case jvend.Bodiless(x.request.Method, status):
		return
	case end != jvend.Proven:
		x.Header().Set("Transfer-Encoding", "identity") // Makes net/http end the response with its connection.
	case length >= 0:
		x.Header().Set("Content-Length", strconv.Itoa(length))
		return
	case x.request.ProtoAtLeast(1, 1):
		return // Chunks.
	}
	x.closes = true
	connOf(x.request.Context()).ResetUnlessEnded()
}

// finish writes what is left of a response that ends with its connection, before the connection may close: net/http
// would ignore an error, and give a short response a length.
func (x *exchange) finish() {
	if x.closes && http.NewResponseController(x).Flush() != nil {
		panic(http.ErrAbortHandler)
	}
}

type exchangeKey struct{}

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.statusOverride != 0 {
		status = x.statusOverride
	}
	x.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (x *exchange) Unwrap() http.ResponseWriter { return x.ResponseWriter }

func exchangeOf(ctx context.Context) *exchange {
	x, _ := ctx.Value(exchangeKey{}).(*exchange)
	return x
}

// withExchange puts the exchange of a request into its context, for the service methods.
func withExchange(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{ResponseWriter: w, request: r}
		defer func() { x.lease.Close() }()
		next.ServeHTTP(x, r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x)))
		x.finish()
	})
}

// setProblemHeaders sets the headers of an error response; retryAfter is in seconds, 0 for none.
func (x *exchange) setProblemHeaders(outcome, request string, retryAfter int) {
	h := x.Header()
	h.Set("Jv-Outcome", outcome)
	h.Set("Jv-Request", request)
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfter))
	}
}

// rejectUnknownRoutes responds to paths and methods that are not in the design with an error in the
// format of the design.
func rejectUnknownRoutes(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/v1/chat/completions" && r.Method == http.MethodPost:
		case strings.HasPrefix(r.URL.Path, "/v1/services/") && isServiceMethod(r.Method) && strings.Count(r.URL.Path, "/") > 3:
		case r.URL.Path == "/v1/chat/completions", strings.HasPrefix(r.URL.Path, "/v1/services/") && !isServiceMethod(r.Method):
			writeProblem(w, http.StatusMethodNotAllowed, jvfleet.ProblemMissing, "the method "+printableMethod(r)+" does not belong to this path", 0)
			return
		default:
			writeProblem(w, http.StatusNotFound, jvfleet.ProblemMissing, "there is nothing at this path: use /v1/chat/completions or /v1/services/SERVICE/PATH", 0)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func isServiceMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// printableMethod returns the request's method for an error message, or "given" if it is long.
func printableMethod(r *http.Request) string {
	if len(r.Method) > 16 {
		return "given"
	}
	return r.Method
}

// writeProblem writes the error response to a request that no service method handles; retryAfter is in seconds, 0 for
// none.
func writeProblem(w http.ResponseWriter, status int, name jvfleet.ProblemName, message string, retryAfter int) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Jv-Outcome", "notrun")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "{\"name\":%q,\"message\":%q,\"outcome\":\"notrun\",\"request\":\"\",\"retry\":%d}\n", name, message, retryAfter)
}
