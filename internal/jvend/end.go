package jvend

import "net/http"

// End is how a response ended, as far as its receiver can know. A higher one shows more. The numbers are stored in records
// of answers.
type End int

// Ends of a response.
const (
	// Broken means that the response is not whole: it broke off, or its end has not arrived.
	Broken End = iota
	// Claimed means that the response ended with its connection. It may be whole, or its sender may have ended.
	Claimed
	// Proven means that the framing of the response, or its content, shows that it is whole.
	Proven
)

// String returns the end's name in logs and metrics.
func (e End) String() string {
	switch e {
	case Proven:
		return "proven"
	case Claimed:
		return "claimed"
	}
	return "broken"
}

// Shows reports whether an end shows at least as much as another one.
func (e End) Shows(other End) bool { return e >= other }

// Of returns what the end of a response's body is once it has been read to io.EOF: Proven if the response has no body,
// a length or chunks, else Claimed.
func Of(r *http.Response) End {
	method := ""
	if r.Request != nil {
		method = r.Request.Method
	}
	if Bodiless(method, r.StatusCode) || r.ContentLength >= 0 || len(r.TransferEncoding) > 0 {
		return Proven
	}
	return Claimed
}

// Bodiless reports whether a response to a method with a status ends with its head.
func Bodiless(method string, status int) bool {
	return method == http.MethodHead || status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified
}
