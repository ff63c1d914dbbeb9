package jvforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/jasminevale/jasminevale/internal/jvcodec"
	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvend"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvmember"
	"github.com/jasminevale/jasminevale/internal/jvquarantine"
	"github.com/jasminevale/jasminevale/internal/jvrelay"
)

// signerFake signs with a word.
type signerFake struct{ word string }

func (s signerFake) Sign(message []byte) (string, bool) {
	return s.word + strconv.Itoa(len(message)), s.word != ""
}

func (s signerFake) Verify(message []byte, tag string) bool {
	own, _ := s.Sign(message)
	return tag == own
}

// fixture is a client and a server of two routers.
type fixture struct {
	client *Client
	to     jvmember.Member
	// serve is what the server's router does.
	serve func(ctx context.Context, d jvrelay.Dispatch, from string) (*jvrelay.Response, error)
	http  *httptest.Server
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{}
	f.http = httptest.NewServer(NewServer(ServerOptions{
		Name: "b", Signer: signerFake{"word"}, MaxBodyBytes: func() int64 { return 100 }, Now: time.Now, Logger: logr.Discard(),
		Serve: func(ctx context.Context, d jvrelay.Dispatch, from string) (*jvrelay.Response, error) {
			return f.serve(ctx, d, from)
		},
	}))
	t.Cleanup(f.http.Close)
	var nonces atomic.Int64
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	f.client = &Client{
		Name: "a", Signer: signerFake{"word"}, NewNonce: func() string { return strconv.FormatInt(nonces.Add(1), 10) },
		Pooled: transport, Unpooled: &http.Transport{DisableKeepAlives: true},
	}
	f.to = jvmember.Member{Name: "b", Address: f.http.Listener.Addr().String()}
	return f
}

func newDispatch() jvrelay.Dispatch {
	d := jvrelay.Dispatch{
		Request:   &jvrelay.Request{ID: "q", Method: "POST", Host: "h", URI: "/x?y=1", Header: http.Header{"X-Own": {"1", "2"}}, Body: []byte("body")},
		Workspace: "w", Timeout: time.Second, Priority: 3, LastEventID: "7",
		Selection: jvrelay.Selection{Pool: "p", Prefix: "part", Bound: true, Version: "v1", Avoid: []string{"t0"}},
	}
	d.Selection.Features.Request = jvquarantine.DigestOf([]byte("digest"))
	d.Selection.Features.Parts = []jvquarantine.Part{jvquarantine.NewPart("part")}
	return d
}

// TestForward checks that an attempt and its response arrive as they were sent, the response in parts as they come.
func TestForward(t *testing.T) {
	f := newFixture(t)
	next := make(chan string)
	got := make(chan jvrelay.Dispatch, 1)
	f.serve = func(_ context.Context, d jvrelay.Dispatch, from string) (*jvrelay.Response, error) {
		require.Equal(t, "a", from)
		got <- d
		reader, writer := io.Pipe()
		go func() {
			for part := range next {
				_, _ = io.WriteString(writer, part)
			}
			_ = writer.Close()
		}()
		return &jvrelay.Response{
			Status: 200, Header: http.Header{"X-Server": {"1"}}, Body: reader, Signed: true, End: jvend.Claimed,
			Target: jvconfig.Target{Name: "t1", Version: "v1"}, StartedAtMillis: 5,
		}, nil
	}
	r, err := f.client.Forward(t.Context(), f.to, newDispatch())
	require.NoError(t, err)
	require.Equal(t, newDispatch(), <-got)
	require.Equal(t, "1", r.Header.Get("X-Server"))
	require.Equal(t, jvconfig.Target{Name: "t1", Version: "v1"}, r.Target)
	require.True(t, r.Signed && r.End == jvend.Claimed && !r.Refused && r.Status == 200 && r.StartedAtMillis == 5)
	for _, part := range []string{"one", "three"} {
		next <- part
		buffer := make([]byte, len(part))
		_, err := io.ReadFull(r.Body, buffer)
		require.NoError(t, err)
		require.Equal(t, part, string(buffer))
	}
	close(next)
	rest, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	require.Empty(t, rest)
}

// TestForwardFailures checks what is known of an attempt that another router could not make.
func TestForwardFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		body io.ReadCloser
		want jvrelay.Kind
	}{
		{"sent to no target", jvfault.Newf("s", jvrelay.KindUnsent, "x"), nil, jvrelay.KindUnsent},
		{"not run", jvfault.Newf("s", jvrelay.KindRefused, "x"), nil, jvrelay.KindRefused},
		{"broken", jvfault.Newf("s", jvrelay.KindBroken, "x"), nil, jvrelay.KindBroken},
		{"any other failure", errors.New("x"), nil, jvrelay.KindBroken},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.serve = func(context.Context, jvrelay.Dispatch, string) (*jvrelay.Response, error) { return nil, c.err }
			_, err := f.client.Forward(t.Context(), f.to, newDispatch())
			require.Equal(t, c.want, jvfault.KindOf[jvrelay.Kind](err))
		})
	}
	f := newFixture(t)
	f.to.Address = "127.0.0.1:1"
	_, err := f.client.Forward(t.Context(), f.to, newDispatch())
	require.Equal(t, jvrelay.KindUnsent, jvfault.KindOf[jvrelay.Kind](err), "no router there")
}

// TestForwardBrokenBody guards against a response that breaks off at the target and looks complete to the caller.
func TestForwardBrokenBody(t *testing.T) {
	f := newFixture(t)
	f.serve = func(context.Context, jvrelay.Dispatch, string) (*jvrelay.Response, error) {
		body := io.MultiReader(strings.NewReader("begun"), brokenReader{})
		return &jvrelay.Response{Status: 200, Body: io.NopCloser(body), End: jvend.Proven}, nil
	}
	r, err := f.client.Forward(t.Context(), f.to, newDispatch())
	require.NoError(t, err)
	_, err = io.ReadAll(r.Body)
	require.Error(t, err)
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("reset") }

// TestForwardCallerLeaves guards against attempts that go on after the caller has left.
func TestForwardCallerLeaves(t *testing.T) {
	f := newFixture(t)
	left := make(chan struct{})
	f.serve = func(ctx context.Context, _ jvrelay.Dispatch, _ string) (*jvrelay.Response, error) {
		<-ctx.Done()
		close(left)
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		time.Sleep(50 * time.Millisecond)
		cancel()
	}()
	_, err := f.client.Forward(ctx, f.to, newDispatch())
	require.Error(t, err)
	<-left
}

// TestForgedAttempts guards against running requests of strangers, and against running a message twice that was
// recorded on the network.
func TestForgedAttempts(t *testing.T) {
	f := newFixture(t)
	served := 0
	f.serve = func(context.Context, jvrelay.Dispatch, string) (*jvrelay.Response, error) {
		served++
		return &jvrelay.Response{Status: 200, Body: io.NopCloser(strings.NewReader("x")), End: jvend.Proven}, nil
	}
	forward := func(change func(c *Client, to *jvmember.Member, d *jvrelay.Dispatch)) error {
		c, to, d := *f.client, f.to, newDispatch()
		change(&c, &to, &d)
		_, err := c.Forward(t.Context(), to, d)
		return err
	}
	require.NoError(t, forward(func(c *Client, _ *jvmember.Member, _ *jvrelay.Dispatch) { c.NewNonce = func() string { return "n" } }))
	require.Equal(t, 1, served)
	for name, change := range map[string]func(c *Client, to *jvmember.Member, d *jvrelay.Dispatch){
		"the same nonce":   func(c *Client, _ *jvmember.Member, _ *jvrelay.Dispatch) { c.NewNonce = func() string { return "n" } },
		"another secret":   func(c *Client, _ *jvmember.Member, _ *jvrelay.Dispatch) { c.Signer = signerFake{"wrong"} },
		"no secret":        func(c *Client, _ *jvmember.Member, _ *jvrelay.Dispatch) { c.Signer = signerFake{} },
		"another receiver": func(_ *Client, to *jvmember.Member, _ *jvrelay.Dispatch) { to.Name = "c" },
		"no pool":          func(_ *Client, _ *jvmember.Member, d *jvrelay.Dispatch) { d.Selection.Pool = "" },
		"a long body":      func(_ *Client, _ *jvmember.Member, d *jvrelay.Dispatch) { d.Request.Body = make([]byte, 101) },
	} {
		require.Error(t, forward(change), name)
		require.Equal(t, 1, served, name)
	}
}

// FuzzAttemptHead guards against heads that end the process, or that lack what an attempt needs.
func FuzzAttemptHead(f *testing.F) {
	f.Add(encodeHead(newAttemptHead(newDispatch())))
	f.Add([]byte{0, 0, 0, 1, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		encoded, err := readHead(strings.NewReader(string(data)))
		if err != nil {
			return
		}
		head, err := jvcodec.Decode[attemptHead](encoded)
		if err != nil || head.check() != nil {
			return
		}
		d := head.dispatch(nil)
		require.NotEmpty(t, d.Request.ID)
		require.NotEmpty(t, d.Selection.Pool)
		require.Positive(t, d.Timeout)
	})
}

// FuzzResponseHead guards against heads that end the process, or a failure that says more than is certain.
func FuzzResponseHead(f *testing.F) {
	f.Add(encodeHead(newResponseHead("n", &jvrelay.Response{Status: 200, Signed: true})))
	f.Add(encodeHead(responseHead{Kind: "gone", Cause: "x"}))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decodeResponse(io.NopCloser(strings.NewReader(string(data))), attemptHead{Nonce: "n"})
		if err != nil {
			require.Contains(t, []jvrelay.Kind{jvrelay.KindUnsent, jvrelay.KindRefused, jvrelay.KindBroken}, jvfault.KindOf[jvrelay.Kind](err))
			return
		}
		require.NotNil(t, r.Header)
	})
}
