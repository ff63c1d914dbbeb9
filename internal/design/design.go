package design

import . "goa.design/goa/v3/dsl" //nolint:staticcheck // The design language is meant to be imported whole.

var _ = API("jasminevale", func() {
	Title("jasminevale")
	Description("Routes model and service requests within prepaid token budgets.")
	Version("1")
})

// Problem is the one error form of the callers' port.
var Problem = Type("Problem", func() {
	Description("What went wrong, whether the request ran, and when to come back.")
	Field(1, "name", String, "Machine-readable reason", func() {
		Meta("struct:error:name")
		Example("overloaded")
	})
	Field(2, "message", String, "What happened and what to do about it")
	Field(3, "outcome", String, "Whether the request ran", func() {
		Enum("done", "notrun", "unknown")
	})
	Field(4, "request", String, "Request id, which joins logs and dumps")
	Field(5, "retry", Int, "Seconds after which to come back; 0 means that coming back does not help")
	Required("name", "message", "outcome", "request", "retry")
})

var problemNames = []struct {
	name   string
	status int
}{
	{"malformed", StatusBadRequest},
	{"unauthorized", StatusUnauthorized},
	{"forbidden", StatusForbidden},
	{"missing", StatusNotFound},
	{"conflict", StatusConflict},
	{"oversize", StatusRequestEntityTooLarge},
	{"mismatch", StatusUnprocessableEntity},
	{"budget", StatusPaymentRequired},
	{"quarantined", StatusFailedDependency},
	{"overloaded", StatusTooManyRequests},
	{"failed", StatusBadGateway},
	{"unavailable", StatusServiceUnavailable},
	{"deadline", StatusGatewayTimeout},
}

func callerErrors() {
	for _, p := range problemNames {
		Error(p.name, Problem)
	}
}

func callerResponses() {
	for _, p := range problemNames {
		Response(p.name, p.status)
	}
}

func callerHeaders() {
	Header("authorization:Authorization")
	Header("key:Idempotency-Key")
	Header("resume:Last-Event-ID")
	Header("content:Content-Type")
}

func callerPayload() {
	Attribute("authorization", String, "Bearer key of the caller's workspace")
	Attribute("key", String, "Idempotency key: the same key with the same body is one request")
	Attribute("resume", String, "Id of the last event received, to come back for the rest of a stream")
	Attribute("content", String, "Media type of the body")
}

func answerResult() {
	Attribute("outcome", String, "Whether the request ran; a stream has it in a trailer and in its last event")
	Attribute("request", String, "Request id")
	Attribute("content", String, "Media type of the answer")
	Required("request", "content")
}

func answerHeaders() {
	Header("outcome:Jv-Outcome")
	Header("request:Jv-Request")
	Header("content:Content-Type")
}

var _ = Service("models", func() {
	Description("Answers of model engines.")
	callerErrors()
	Method("chat", func() {
		Description("Runs one chat request on the profile that the model field names.")
		Payload(callerPayload)
		Result(answerResult)
		HTTP(func() {
			POST("/v1/chat/completions")
			callerHeaders()
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, answerHeaders)
			callerResponses()
		})
	})
})

var _ = Service("services", func() {
	Description("Calls of plain services that stand beside the engines.")
	callerErrors()
	Method("call", func() {
		Description("Passes one call to a plain service.")
		Payload(func() {
			callerPayload()
			Attribute("service", String, "Name of the service's pool")
			Attribute("path", String, "Path within the service")
			Required("service", "path")
		})
		Result(answerResult)
		HTTP(func() {
			GET("/v1/services/{service}/{*path}")
			POST("/v1/services/{service}/{*path}")
			PUT("/v1/services/{service}/{*path}")
			DELETE("/v1/services/{service}/{*path}")
			callerHeaders()
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, answerHeaders)
			callerResponses()
		})
	})
})

var _ = Service("operator", func() {
	Description("What one VM of the fleet holds and does.")
	Error("unready", String, "Why this VM does not serve")
	Method("health", func() {
		Result(String)
		HTTP(func() {
			GET("/health")
			Response(StatusOK, func() { ContentType("text/plain") })
		})
	})
	Method("ready", func() {
		Result(String)
		HTTP(func() {
			GET("/ready")
			Response(StatusOK, func() { ContentType("text/plain") })
			Response("unready", StatusServiceUnavailable)
		})
	})
	Method("metrics", func() {
		Result(func() {
			Attribute("content", String)
			Required("content")
		})
		HTTP(func() {
			GET("/metrics")
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() { Header("content:Content-Type") })
		})
	})
	Method("dump", func() {
		Payload(func() {
			Attribute("part", String, "Part of the state, or empty for all")
			Attribute("request", String, "Only decisions on this request id")
		})
		Result(func() {
			Attribute("content", String)
			Required("content")
		})
		HTTP(func() {
			GET("/dump")
			Param("part")
			Param("request")
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() { Header("content:Content-Type") })
		})
	})
	Method("stop", func() {
		Description("Stops this VM gracefully: no new work, streams finish, grants go back.")
		Result(String)
		HTTP(func() {
			POST("/stop")
			Response(StatusAccepted, func() { ContentType("text/plain") })
		})
	})
})
