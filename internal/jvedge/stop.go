package jvedge

import (
	"context"
	"net/http"
	"sync"
)

// AnnounceClose wraps a handler so that responses end their connections while a router stops: the callers' next
// connections go to other VMs, and none is open when the port closes.
func AnnounceClose(stopping func() bool, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Shutdown sends the ends of responses until ctx ends, and then closes all ports with their connections.
func Shutdown(ctx context.Context, servers []*Server) {
	var closing sync.WaitGroup
	for _, s := range servers {
		closing.Go(func() {
			_ = s.http.Shutdown(ctx) // If ctx ends, the connections that are left are closed.
			s.cut()
			_ = s.http.Close()
		})
	}
	closing.Wait()
}
