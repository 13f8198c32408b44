package design

import . "goa.design/goa/v3/dsl" //nolint:staticcheck // goa's language is written with a dot import.

var _ = API("coltsfootlink", func() {
	Title("coltsfootlink")
	Description("A router fleet that lets teams share model and application servers fairly.")
})

var refused = Type("refused", func() {
	Description("The error response to a request that was refused or failed before a complete answer.")
	Attribute("outcome", String, "not-run or may-have-run")
	Attribute("reason", String, "kebab-case reason")
	Attribute("detail", String, "description of the cause")
	Attribute("request-id", String, "the request's identifier")
	Attribute("retry-after", Int, "seconds after which the caller may retry")
	ErrorName("name", String, "name of the error")
	Required("name", "outcome", "reason", "detail", "request-id")
})

var _ = Service("callers", func() {
	Description("Requests of teams to pools.")
	for _, name := range []string{"bad-request", "unauthorized", "not-found", "conflict", "too-large", "too-many", "bad-gateway", "unavailable", "deadline"} {
		Error(name, refused)
	}
	Method("call", func() {
		Description("Runs one request on a target of a pool and streams the answer.")
		Payload(func() {
			Attribute("pool", String, "name of the pool")
			Attribute("route", String, "path of the route")
			Attribute("authorization", String, "bearer token of the team")
			Attribute("deadline", String, "RFC 3339 time after which the caller no longer needs the answer")
			Attribute("cost-hint", String, "estimated cost in the pool's unit")
			Attribute("idempotency-key", String, "UUIDv7 of a request that may run at most once")
			Attribute("content-type", String, "media type of the body")
			Required("pool", "route")
		})
		Result(func() {
			Attribute("outcome", String, "always ran")
			Attribute("request-id", String, "the request's identifier")
			Attribute("content-type", String, "media type of the answer")
			Required("outcome", "request-id", "content-type")
		})
		HTTP(func() {
			POST("/v1/{pool}/{*route}")
			Header("authorization:Authorization")
			Header("deadline:Coltsfoot-Deadline")
			Header("cost-hint:Coltsfoot-Cost-Hint")
			Header("idempotency-key:Idempotency-Key")
			Header("content-type:Content-Type")
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("outcome:Coltsfoot-Outcome")
				Header("request-id:Coltsfoot-Request-Id")
				Header("content-type:Content-Type")
			})
			refusal("bad-request", StatusBadRequest)
			refusal("unauthorized", StatusUnauthorized)
			refusal("not-found", StatusNotFound)
			refusal("conflict", StatusConflict)
			refusal("too-large", StatusRequestEntityTooLarge)
			refusal("too-many", StatusTooManyRequests)
			refusal("bad-gateway", StatusBadGateway)
			refusal("unavailable", StatusServiceUnavailable)
			refusal("deadline", StatusGatewayTimeout)
		})
	})
	Method("ready", func() {
		Description("Reports to the load balancer whether the instance accepts new requests.")
		Result(String)
		Error("unavailable", refused)
		HTTP(func() {
			GET("/ready")
			Response(StatusOK)
			refusal("unavailable", StatusServiceUnavailable)
		})
	})
})

// refusal maps an error to an HTTP status and sends its outcome, request ID and retry delay as headers.
func refusal(name string, status int) {
	Response(name, status, func() {
		Header("outcome:Coltsfoot-Outcome")
		Header("request-id:Coltsfoot-Request-Id")
		Header("retry-after:Retry-After")
	})
}
