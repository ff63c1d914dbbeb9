package jvmemory

import (
	"net"
	"net/http"
	"time"
)

// ReadBody reads the body of a caller's request of a workspace, of limit bytes at most and until a deadline, if that is not
// zero. The lease holds its memory until the caller of ReadBody closes it; it is nil if the account is. It returns a *http.MaxBytesError for a longer body,
// ErrFull if there is too little memory, ErrStalled if its sender makes no progress, and otherwise the error of the connection.
func (a *Account) ReadBody(w http.ResponseWriter, r *http.Request, workspace string, limit int64, deadline time.Time) ([]byte, *Lease, error) {
	if a != nil && r.ContentLength > limit {
		return nil, nil, &http.MaxBytesError{Limit: limit}
	}
	control := http.NewResponseController(w)
	address, _, _ := net.SplitHostPort(r.RemoteAddr)
	lease, err := a.Open(Holder{Address: address, Workspace: workspace}, func() {
		_ = control.SetReadDeadline(a.options.Timer.Now()) // If deadlines aren't supported, the sender keeps its share.
	})
	if err != nil {
		return nil, nil, err
	}
	if !deadline.IsZero() {
		_ = control.SetReadDeadline(deadline) // If deadlines aren't supported, a body may take longer.
	}
	body, err := lease.ReadAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		lease.Close()
		return nil, nil, err
	}
	if !deadline.IsZero() {
		_ = control.SetReadDeadline(time.Time{}) // net/http reads on, to see that the caller leaves.
	}
	return body, lease, nil
}
