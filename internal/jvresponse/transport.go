package jvresponse

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"slices"

	"golang.org/x/net/http/httpguts"

	"github.com/jasminevale/jasminevale/internal/jvfault"
)

// Transport is a RoundTripper that refuses malformed responses of another one. net/http takes names of fields with blanks for
// names of their own, so that it misses the framing in "Content-Length : 4".
type Transport struct {
	base http.RoundTripper
}

// NewTransport returns a Transport over base.
func NewTransport(base http.RoundTripper) *Transport { return &Transport{base: base} }

// RoundTrip implements http.RoundTripper. The error is an *Error of KindMalformed if the head of the response, or that of an
// informational one before it, has an invalid name, or if the status is below 100; reading the body returns such an error at its
// end for the trailer.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
		return checkFields("informational response", http.Header(header))
	}}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if len(response.TransferEncoding) > 0 { // Only these have trailers.
		response.Body = &trailedBody{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

// CloseIdleConnections closes the connections of the base that wait for a request.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// checkHead returns an error if the head of a response is none in HTTP.
func checkHead(response *http.Response) error {
	const op = "read response"
	if response.StatusCode < http.StatusContinue { // net/http takes any three digits.
		return jvfault.Newf(op, KindMalformed, "the status %q", response.Status[:min(len(response.Status), maxQuotedBytes)])
	}
	return checkFields("response", response.Header)
}

// maxQuotedBytes limits what an error quotes of a name.
const maxQuotedBytes = 100

// checkFields returns an error if the fields of a head or a trailer have an invalid name.
func checkFields(where string, fields http.Header) error {
	var invalid []string
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			invalid = append(invalid, name)
		}
	}
	if len(invalid) == 0 {
		return nil
	}
	name := slices.Min(invalid)
	return jvfault.Newf("read "+where, KindMalformed, "the name %q of a field", name[:min(len(name), maxQuotedBytes)])
}

// trailedBody is a body that may have a trailer.
type trailedBody struct {
	io.ReadCloser

	response *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := checkFields("trailer", b.response.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}
