package jvedge

import (
	"context"
	"net/http"

	"github.com/go-logr/logr"
	goahttp "goa.design/goa/v3/http"

	"github.com/jasminevale/jasminevale/internal/gen/http/models/server"
	operatorserver "github.com/jasminevale/jasminevale/internal/gen/http/operator/server"
	servicesserver "github.com/jasminevale/jasminevale/internal/gen/http/services/server"
	"github.com/jasminevale/jasminevale/internal/gen/models"
	"github.com/jasminevale/jasminevale/internal/gen/operator"
	"github.com/jasminevale/jasminevale/internal/gen/services"
)

// CallersHandler returns the handler of the callers' port.
func CallersHandler(c *Callers, logger logr.Logger) http.Handler {
	mux := goahttp.NewMuxer()
	onError := logWriteErrors(logger)
	server.Mount(mux, server.New(models.NewEndpoints(c), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, onError, nil))
	servicesserver.Mount(mux, servicesserver.New(services.NewEndpoints(c), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, onError, nil))
	return rejectUnknownRoutes(withExchange(mux))
}

// OperatorsHandler returns the handler of the operators' port.
func OperatorsHandler(o *Operators, logger logr.Logger) http.Handler {
	mux := goahttp.NewMuxer()
	operatorserver.Mount(mux, operatorserver.New(operator.NewEndpoints(o), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, logWriteErrors(logger), nil))
	return mux
}

// logWriteErrors returns a function that logs responses that could not be written. The usual cause
// is that the caller has disconnected.
func logWriteErrors(logger logr.Logger) func(context.Context, http.ResponseWriter, error) {
	return func(_ context.Context, _ http.ResponseWriter, err error) {
		logger.V(1).Info("response not written", "cause", err.Error())
	}
}
