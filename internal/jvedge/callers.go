package jvedge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jasminevale/jasminevale/internal/gen/models"
	"github.com/jasminevale/jasminevale/internal/gen/services"
	"github.com/jasminevale/jasminevale/internal/jvfleet"
	"github.com/jasminevale/jasminevale/internal/jvflight"
	"github.com/jasminevale/jasminevale/internal/jvmemory"
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// Callers implements the services of the callers' port.
type Callers struct {
	router *jvfleet.Router
	limits Limits
	// account limits the memory of bodies.
	account *jvmemory.Account
}

// NewCallers returns the callers' services of a router, whose bodies an account limits.
func NewCallers(router *jvfleet.Router, limits Limits, account *jvmemory.Account) *Callers {
	return &Callers{router: router, limits: limits, account: account}
}

// Chat implements models.Service.
func (c *Callers) Chat(ctx context.Context, p *models.ChatPayload, body io.ReadCloser) (*models.ChatResult, io.ReadCloser, error) {
	x := exchangeOf(ctx)
	data, problem := c.readBody(x, body, p.Authorization)
	if problem != nil {
		return nil, nil, x.modelProblem("", problem)
	}
	q, stream, problem := c.router.AdmitChat(jvfleet.Incoming{
		Authorization: stringOrEmpty(p.Authorization),
		Key:           stringOrEmpty(p.Key),
		ContentType:   stringOrEmpty(p.Content),
		Body:          data,
	})
	if problem != nil {
		return nil, nil, x.modelProblem(q.ID, problem)
	}
	fl, problem := c.router.Serve(q)
	if problem != nil {
		return nil, nil, x.modelProblem(q.ID, problem)
	}
	a := &answerWriter{router: c.router, flight: fl, exchange: x, limits: c.limits, profile: q.Model.Profile.Name, firstIndex: resumeIndex(p.Resume)}
	if !stream {
		return a.wholeResponse(ctx, q.ID)
	}
	return a.streamResponse(ctx, q.ID)
}

// Call implements services.Service.
func (c *Callers) Call(ctx context.Context, p *services.CallPayload, body io.ReadCloser) (*services.CallResult, io.ReadCloser, error) {
	x := exchangeOf(ctx)
	data, problem := c.readBody(x, body, p.Authorization)
	if problem != nil {
		return nil, nil, x.serviceProblem("", problem)
	}
	path := "/" + p.Path
	if x.request.URL.RawQuery != "" {
		path += "?" + x.request.URL.RawQuery
	}
	q, problem := c.router.AdmitCall(jvfleet.Incoming{
		Authorization: stringOrEmpty(p.Authorization),
		Key:           stringOrEmpty(p.Key),
		ContentType:   stringOrEmpty(p.Content),
		Body:          data,
		Service:       p.Service,
		Method:        x.request.Method,
		Path:          path,
	})
	if problem != nil {
		return nil, nil, x.serviceProblem(q.ID, problem)
	}
	fl, problem := c.router.Serve(q)
	if problem != nil {
		return nil, nil, x.serviceProblem(q.ID, problem)
	}
	defer fl.Detach()
	end, err := waitEnd(ctx, fl)
	if err != nil {
		return nil, nil, x.serviceProblem(q.ID, callerDisconnected())
	}
	if end.Problem != "" {
		return nil, nil, x.serviceProblem(q.ID, endProblem(end))
	}
	x.statusOverride = end.Status
	x.begin(end.Status, len(end.Body), end.BodyEnd())
	content := end.ContentType
	if content == "" {
		content = "application/octet-stream"
	}
	return &services.CallResult{Outcome: &end.Outcome, Request: q.ID, Content: content}, io.NopCloser(strings.NewReader(string(end.Body))), nil
}

// readBody reads a request's body within the limits. The exchange holds its memory until the response ends.
func (c *Callers) readBody(x *exchange, body io.ReadCloser, authorization *string) ([]byte, *jvfleet.Problem) {
	if !x.request.ProtoAtLeast(1, 1) && carriesBody(x.request.Method) && x.request.Header.Get("Content-Length") == "" {
		return nil, bodyProblem(jvfleet.ProblemMalformed, "a request of HTTP/1.0 with a body needs a Content-Length")
	}
	x.request.Body = body
	w, _ := c.router.Catalog().Workspace(strings.TrimPrefix(stringOrEmpty(authorization), "Bearer "))
	data, lease, err := c.account.ReadBody(x, x.request, w.Name, c.limits.MaxBodyBytes, c.router.Now().Add(c.limits.ReadTimeout))
	x.lease = lease
	if err == nil {
		return data, nil
	}
	x.Header().Set("Connection", "close")
	_ = http.NewResponseController(x).SetReadDeadline(c.router.Now()) // net/http reads a part of the rest before the response.
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, bodyProblem(jvfleet.ProblemOversize, "the body is larger than "+strconv.FormatInt(c.limits.MaxBodyBytes, 10)+" bytes")
	case errors.Is(err, jvmemory.ErrFull):
		p := bodyProblem(jvfleet.ProblemOverloaded, "this VM has no memory left for the body: another one may take the request")
		p.RetryAfter = fullRetryAfter
		return nil, p
	}
	return nil, bodyProblem(jvfleet.ProblemMalformed, "the body is incomplete or was sent too slowly")
}

// fullRetryAfter is the delay after which memory may be free for a body.
const fullRetryAfter = time.Second

// bodyProblem returns the problem of a request that has not run since its body was not read.
func bodyProblem(name jvfleet.ProblemName, message string) *jvfleet.Problem {
	return &jvfleet.Problem{Name: name, Message: message, Outcome: jvrecord.OutcomeNotRun}
}

// carriesBody reports whether requests of a method have a body. Without a Content-Length net/http reads none of HTTP/1.0.
func carriesBody(method string) bool { return method == http.MethodPost || method == http.MethodPut }

// waitEnd waits until a flight has ended or the caller has disconnected.
func waitEnd(ctx context.Context, fl *jvflight.Flight) (*jvflight.End, error) {
	for from := int64(0); ; {
		events, end, err := fl.Read(ctx, from)
		if err != nil || end != nil {
			return end, err
		}
		from += int64(len(events))
	}
}

func endProblem(e *jvflight.End) *jvfleet.Problem {
	return &jvfleet.Problem{
		Name:       jvfleet.ProblemName(e.Problem),
		Message:    e.Message,
		Outcome:    jvrecord.Outcome(e.Outcome),
		RetryAfter: time.Duration(e.RetryAfter) * time.Second,
	}
}

func callerDisconnected() *jvfleet.Problem {
	return &jvfleet.Problem{Name: jvfleet.ProblemFailed, Message: "the caller disconnected", Outcome: jvrecord.OutcomeUnknown}
}

// modelProblem sets the headers of a problem and returns it as an error of the models service.
func (x *exchange) modelProblem(request string, p *jvfleet.Problem) error {
	x.setProblemHeaders(string(p.Outcome), request, p.RetryAfterSeconds())
	return &models.Problem{Name: string(p.Name), Message: p.Message, Outcome: string(p.Outcome), Request: request, Retry: p.RetryAfterSeconds()}
}

// serviceProblem sets the headers of a problem and returns it as an error of the services service.
func (x *exchange) serviceProblem(request string, p *jvfleet.Problem) error {
	x.setProblemHeaders(string(p.Outcome), request, p.RetryAfterSeconds())
	return &services.Problem{Name: string(p.Name), Message: p.Message, Outcome: string(p.Outcome), Request: request, Retry: p.RetryAfterSeconds()}
}

func stringOrEmpty(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

// resumeIndex returns the index after the last event that the caller received, or 0 if the header
// is absent or is no index.
func resumeIndex(last *string) int64 {
	n, err := strconv.ParseInt(stringOrEmpty(last), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n + 1
}
