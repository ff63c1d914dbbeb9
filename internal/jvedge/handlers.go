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
	failed := failure(logger)
	server.Mount(mux, server.New(models.NewEndpoints(c), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, failed, nil))
	servicesserver.Mount(mux, servicesserver.New(services.NewEndpoints(c), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, failed, nil))
	return knownRoutes(withExchange(mux))
}

// OperatorsHandler returns the handler of the operators' port.
func OperatorsHandler(o *Operators, logger logr.Logger) http.Handler {
	mux := goahttp.NewMuxer()
	operatorserver.Mount(mux, operatorserver.New(operator.NewEndpoints(o), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, failure(logger), nil))
	return mux
}

// failure logs answers that could not be written, mostly since the caller left.
func failure(logger logr.Logger) func(context.Context, http.ResponseWriter, error) {
	return func(_ context.Context, _ http.ResponseWriter, err error) {
		logger.V(1).Info("answer not written", "cause", err.Error())
	}
}
