package design

import . "goa.design/goa/v3/dsl" //nolint:staticcheck // goa's language is written with a dot import.

var finding = Type("finding", func() {
	Attribute("place", String, "location of the error")
	Attribute("text", String, "description of the error")
	Required("place", "text")
})

var rejected = Type("rejected", func() {
	Description("The reasons why a statement was not executed.")
	ErrorName("name", String, "name of the error")
	Attribute("findings", ArrayOf(finding))
	Required("name", "findings")
})

var row = Type("row", func() {
	Attribute("cells", ArrayOf(String))
	Required("cells")
})

var _ = Service("operators", func() {
	Description("Queries and commands of operators.")
	Error("unauthorized", rejected)
	Error("bad-statement", rejected)
	Error("conflict", rejected)
	Error("unavailable", rejected)
	Method("run", func() {
		Description("Runs one statement of the query and command language.")
		Payload(func() {
			Attribute("authorization", String, "bearer token of the operators")
			Attribute("statement", String, "statement of the query and command language")
			Attribute("document", String, "configuration document for an apply statement")
			Required("statement")
		})
		Result(func() {
			Attribute("columns", ArrayOf(String))
			Attribute("rows", ArrayOf(row))
			Attribute("revision", UInt64, "configuration revision in force on the instance that replied")
			Attribute("missing", ArrayOf(String), "instances that did not answer in time")
			Required("columns", "rows", "revision", "missing")
		})
		HTTP(func() {
			POST("/v1/statements")
			Header("authorization:Authorization")
			Response(StatusOK)
			Response("unauthorized", StatusUnauthorized)
			Response("bad-statement", StatusBadRequest)
			Response("conflict", StatusConflict)
			Response("unavailable", StatusServiceUnavailable)
		})
	})
})
