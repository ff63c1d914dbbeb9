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
	"github.com/jasminevale/jasminevale/internal/jvrecord"
)

// Callers implements the services of the callers' port.
type Callers struct {
	fleet  *jvfleet.Router
	limits Limits
}

// NewCallers returns the callers' services on a fleet.
func NewCallers(fleet *jvfleet.Router, limits Limits) *Callers {
	return &Callers{fleet: fleet, limits: limits}
}

// Chat implements models.Service.
func (c *Callers) Chat(ctx context.Context, p *models.ChatPayload, body io.ReadCloser) (*models.ChatResult, io.ReadCloser, error) {
	x := exchangeOf(ctx)
	data, problem := c.read(x, body)
	if problem != nil {
		return nil, nil, x.modelProblem("", problem)
	}
	q, stream, problem := c.fleet.AdmitChat(jvfleet.Incoming{
		Authorization: text(p.Authorization),
		Key:           text(p.Key),
		ContentType:   text(p.Content),
		Body:          data,
	})
	if problem != nil {
		return nil, nil, x.modelProblem(q.ID, problem)
	}
	fl, problem := c.fleet.Serve(q)
	if problem != nil {
		return nil, nil, x.modelProblem(q.ID, problem)
	}
	a := &answer{fleet: c.fleet, flight: fl, exchange: x, limits: c.limits, profile: q.Model.Profile.Name, from: resumeIndex(p.Resume)}
	if !stream {
		return a.whole(ctx, q.ID)
	}
	return a.stream(ctx, q.ID)
}

// Call implements services.Service.
func (c *Callers) Call(ctx context.Context, p *services.CallPayload, body io.ReadCloser) (*services.CallResult, io.ReadCloser, error) {
	x := exchangeOf(ctx)
	data, problem := c.read(x, body)
	if problem != nil {
		return nil, nil, x.serviceProblem("", problem)
	}
	path := "/" + p.Path
	if x.request.URL.RawQuery != "" {
		path += "?" + x.request.URL.RawQuery
	}
	q, problem := c.fleet.AdmitCall(jvfleet.Incoming{
		Authorization: text(p.Authorization),
		Key:           text(p.Key),
		ContentType:   text(p.Content),
		Body:          data,
		Service:       p.Service,
		Method:        x.request.Method,
		Path:          path,
	})
	if problem != nil {
		return nil, nil, x.serviceProblem(q.ID, problem)
	}
	fl, problem := c.fleet.Serve(q)
	if problem != nil {
		return nil, nil, x.serviceProblem(q.ID, problem)
	}
	defer fl.Detach()
	end, err := waitEnd(ctx, fl)
	if err != nil {
		return nil, nil, x.serviceProblem(q.ID, callerLeft())
	}
	if end.Problem != "" {
		return nil, nil, x.serviceProblem(q.ID, endProblem(end))
	}
	x.status = end.Status
	content := end.ContentType
	if content == "" {
		content = "application/octet-stream"
	}
	return &services.CallResult{Outcome: &end.Outcome, Request: q.ID, Content: content}, io.NopCloser(strings.NewReader(string(end.Body))), nil
}

// read takes a request's body within its limits. The deadline is lifted again afterwards,
// since it would otherwise end an answer that takes longer.
func (c *Callers) read(x *exchange, body io.ReadCloser) ([]byte, *jvfleet.Problem) {
	control := http.NewResponseController(x)
	_ = control.SetReadDeadline(c.fleet.Now().Add(c.limits.ReadTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	data, err := io.ReadAll(http.MaxBytesReader(nil, body, c.limits.MaxBodyBytes))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, &jvfleet.Problem{
			Name:    jvfleet.ProblemOversize,
			Message: "the body is larger than " + strconv.FormatInt(c.limits.MaxBodyBytes, 10) + " bytes",
			Outcome: jvrecord.OutcomeNotRun,
		}
	case err != nil:
		return nil, &jvfleet.Problem{
			Name:    jvfleet.ProblemMalformed,
			Message: "the body broke off or came too slowly",
			Outcome: jvrecord.OutcomeNotRun,
		}
	}
	return data, nil
}

// waitEnd waits for a flight's end, or for the caller to leave.
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

func callerLeft() *jvfleet.Problem {
	return &jvfleet.Problem{Name: jvfleet.ProblemFailed, Message: "the caller left", Outcome: jvrecord.OutcomeUnknown}
}

// modelProblem returns a problem in the form of the models service.
func (x *exchange) modelProblem(request string, p *jvfleet.Problem) error {
	x.problemHeaders(string(p.Outcome), request, p.RetryAfterSeconds())
	return &models.Problem{Name: string(p.Name), Message: p.Message, Outcome: string(p.Outcome), Request: request, Retry: p.RetryAfterSeconds()}
}

// serviceProblem returns a problem in the form of the services service.
func (x *exchange) serviceProblem(request string, p *jvfleet.Problem) error {
	x.problemHeaders(string(p.Outcome), request, p.RetryAfterSeconds())
	return &services.Problem{Name: string(p.Name), Message: p.Message, Outcome: string(p.Outcome), Request: request, Retry: p.RetryAfterSeconds()}
}

func text(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

// resumeIndex returns the index after the last event that a caller has, 0 for none.
func resumeIndex(last *string) int64 {
	n, err := strconv.ParseInt(text(last), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n + 1
}
