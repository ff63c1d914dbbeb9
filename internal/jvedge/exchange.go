package jvedge

import (
	"context"
	"net/http"
	"strconv"
	"strings"
)

// exchange is the HTTP side of one request, which goa's generated code does not pass on.
type exchange struct {
	http.ResponseWriter
	request *http.Request
	// status replaces that of the design, where a plain service answered with another one.
	status int
}

type exchangeKey struct{}

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.status != 0 {
		status = x.status
	}
	x.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (x *exchange) Unwrap() http.ResponseWriter { return x.ResponseWriter }

func exchangeOf(ctx context.Context) *exchange {
	x, _ := ctx.Value(exchangeKey{}).(*exchange)
	return x
}

// withExchange makes the HTTP side of a request reachable from the service methods.
func withExchange(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{ResponseWriter: w, request: r}
		next.ServeHTTP(x, r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x)))
	})
}

// problemHeaders puts outcome, request id and Retry-After into the header of an error.
func (x *exchange) problemHeaders(outcome, request string, retry int) {
	h := x.Header()
	h.Set("Jv-Outcome", outcome)
	h.Set("Jv-Request", request)
	if retry > 0 {
		h.Set("Retry-After", strconv.Itoa(retry))
	}
}

// knownRoutes answers paths and methods that the design does not have in its error form.
func knownRoutes(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/v1/chat/completions" && r.Method == http.MethodPost:
		case strings.HasPrefix(r.URL.Path, "/v1/services/") && routeMethod(r.Method) && strings.Count(r.URL.Path, "/") > 3:
		case r.URL.Path == "/v1/chat/completions", strings.HasPrefix(r.URL.Path, "/v1/services/") && !routeMethod(r.Method):
			writeProblem(w, http.StatusMethodNotAllowed, "the method "+method(r)+" does not belong to this path")
			return
		default:
			writeProblem(w, http.StatusNotFound, "there is nothing at this path: use /v1/chat/completions or /v1/services/SERVICE/PATH")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func routeMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func method(r *http.Request) string {
	if len(r.Method) > 16 {
		return "given"
	}
	return r.Method
}

func writeProblem(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Jv-Outcome", "notrun")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(`{"name":"missing","message":` + strconv.Quote(message) + `,"outcome":"notrun","request":"","retry":0}` + "\n"))
}
