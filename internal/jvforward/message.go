package jvforward

import (
	"encoding/binary"
	"io"
	"net/http"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvquarantine"
	"github.com/jasminevale/jasminevale/internal/jvrelay"
)

// attemptHead precedes the body of a caller's request.
type attemptHead struct {
	// From and To are the names of the routers. Nonce is different in each message.
	From  string `cbor:"from"`
	To    string `cbor:"to"`
	Nonce string `cbor:"nonce"`

	ID     string      `cbor:"id"`
	Method string      `cbor:"method"`
	Host   string      `cbor:"host"`
	URI    string      `cbor:"uri"`
	Header http.Header `cbor:"header"`
	// BodyHash is the SHA-256 hash of the body.
	BodyHash      []byte        `cbor:"body"`
	Workspace     string        `cbor:"workspace,omitempty"`
	Timeout       time.Duration `cbor:"timeout"`
	Priority      int           `cbor:"priority"`
	LastEventID   string        `cbor:"after,omitempty"`
	NewConnection bool          `cbor:"fresh,omitempty"`

	Pool    string   `cbor:"pool"`
	Prefix  string   `cbor:"prefix,omitempty"`
	Bound   bool     `cbor:"bound,omitempty"`
	Version string   `cbor:"version,omitempty"`
	Avoid   []string `cbor:"avoid,omitempty"`
	// Digest and Parts are the request's features in reports of crashes.
	Digest []byte       `cbor:"digest"`
	Parts  []promptPart `cbor:"parts,omitempty"`
}

// promptPart is a part of a prompt that requests may share.
type promptPart struct {
	Digest []byte `cbor:"digest"`
	Name   string `cbor:"name"`
}

// newAttemptHead returns the head of an attempt, without the fields that authenticate it.
func newAttemptHead(d jvrelay.Dispatch) attemptHead {
	q, s := d.Request, d.Selection
	h := attemptHead{
		ID: q.ID, Method: q.Method, Host: q.Host, URI: q.URI, Header: q.Header, Workspace: d.Workspace, Timeout: d.Timeout,
		Priority: d.Priority, LastEventID: d.LastEventID, NewConnection: d.NewConnection,
		Pool: s.Pool, Prefix: s.Prefix, Bound: s.Bound, Version: s.Version, Avoid: s.Avoid, Digest: s.Features.Request[:],
	}
	for _, p := range s.Features.Parts {
		h.Parts = append(h.Parts, promptPart{Digest: p.Digest[:], Name: p.Name})
	}
	return h
}

// dispatch returns the attempt of a head with a body.
func (h attemptHead) dispatch(body []byte) jvrelay.Dispatch {
	d := jvrelay.Dispatch{
		Request:   &jvrelay.Request{ID: h.ID, Method: h.Method, Host: h.Host, URI: h.URI, Header: h.Header, Body: body},
		Workspace: h.Workspace, Timeout: h.Timeout, Priority: h.Priority, LastEventID: h.LastEventID, NewConnection: h.NewConnection,
		Selection: jvrelay.Selection{Pool: h.Pool, Prefix: h.Prefix, Bound: h.Bound, Version: h.Version, Avoid: h.Avoid},
	}
	d.Selection.Features.Request = jvquarantine.DigestOf(h.Digest)
	for _, p := range h.Parts {
		d.Selection.Features.Parts = append(d.Selection.Features.Parts, jvquarantine.Part{Digest: jvquarantine.DigestOf(p.Digest), Name: p.Name})
	}
	return d
}

// check returns an error if the head lacks what an attempt needs.
func (h attemptHead) check() error {
	digestBytes := len(jvquarantine.Digest{})
	malformed := h.ID == "" || h.Pool == "" || h.Timeout <= 0 || len(h.Digest) != digestBytes || len(h.URI) == 0 || h.URI[0] != '/'
	for _, p := range h.Parts {
		malformed = malformed || len(p.Digest) != digestBytes
	}
	if malformed {
		return jvfault.Newf("decode attempt", KindMalformed, "request %q", h.ID)
	}
	return nil
}

// responseHead precedes the body of a target's response.
type responseHead struct {
	// For is the nonce of the attempt. Earlier builds send none, and believe a refusal that may be the response to
	// another request.
	For string `cbor:"for,omitempty"`
	// Kind is the kind of failure if there is no response, Cause says why.
	Kind  string `cbor:"kind,omitempty"`
	Cause string `cbor:"cause,omitempty"`

	Target  string `cbor:"target,omitempty"`
	Version string `cbor:"version,omitempty"`
	Born    int64  `cbor:"born,omitempty"`

	Status        int         `cbor:"status,omitempty"`
	Header        http.Header `cbor:"header,omitempty"`
	Refused       bool        `cbor:"refused,omitempty"`
	WrongInstance bool        `cbor:"displaced,omitempty"`
	Signed        bool        `cbor:"signed,omitempty"`
	// Unframed is true if the end of the target's response is claimed only.
	Unframed bool `cbor:"unframed,omitempty"`
	// Leaving is missing in the responses of earlier builds.
	Leaving bool `cbor:"leaving,omitempty"`
}

func newResponseHead(nonce string, r *jvrelay.Response) responseHead {
	return responseHead{
		For: nonce, Target: r.Target.Name, Version: r.Target.Version, Born: r.StartedAtMillis, Status: r.Status, Header: r.Header,
		Refused: r.Refused, WrongInstance: r.WrongInstance, Signed: r.Signed, Unframed: r.End != jvend.Proven, Leaving: r.Leaving,
	}
}

// response returns the response of a head with a body.
func (h responseHead) response(body io.ReadCloser) *jvrelay.Response {
	header := h.Header
	if header == nil {
		header = http.Header{}
	}
	end := jvend.Proven
	if h.Unframed {
		end = jvend.Claimed
	}
	return &jvrelay.Response{
		Status: h.Status, Header: header, Body: body, Refused: h.Refused, WrongInstance: h.WrongInstance, Signed: h.Signed,
		End: end, Leaving: h.Leaving, Target: jvconfig.Target{Name: h.Target, Version: h.Version}, StartedAtMillis: h.Born,
	}
}

// maxHeadBytes limits a head. It exceeds the headers of callers and targets that routers accept.
const maxHeadBytes = 256 << 10

// lengthBytes is the length of the size that precedes a head.
const lengthBytes = 4

// encodeHead returns a head with its length.
func encodeHead(head any) []byte {
	data := jvcodec.Encode(head)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
}

// readHead reads the bytes of a head.
func readHead(r io.Reader) ([]byte, error) {
	const op = "read head"
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, jvfault.New(op, KindMalformed, err)
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxHeadBytes {
		return nil, jvfault.Newf(op, KindMalformed, "a head of %d bytes", n)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, jvfault.New(op, KindMalformed, err)
	}
	return data, nil
}
