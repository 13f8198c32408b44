// Package target is the HTTP client for targets: it sends requests to them, checks their answers and reads their load
// reports.
package target

// Headers and paths of the HTTP protocol between instances and targets.
const (
	// RequestIDHeader holds the request ID, in requests and answers.
	RequestIDHeader = "Coltsfoot-Request-Id"
	// KeyHeader holds the idempotency key of a request.
	KeyHeader = "Coltsfoot-Idempotency-Key"
	// CostHeader holds the cost of an answer in the pool's unit. It is a header or a trailer.
	CostHeader = "Coltsfoot-Cost"
	// IncarnationHeader holds the target's incarnation.
	IncarnationHeader = "Coltsfoot-Incarnation"
	// LoadPath is the path of the target's load report.
	LoadPath = "/load"
)

// LoadDocument is the JSON format of a target's load report.
type LoadDocument struct {
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
}
