// Package metrics holds the metrics of an instance, which are published through expvar and as text.
package metrics

import (
	"context"
	"expvar"

	"google.golang.org/grpc/stats"
)

// Metrics of the control traffic between instances.
var (
	controlBytesSent     = expvar.NewInt("control-bytes-sent")
	controlBytesReceived = expvar.NewInt("control-bytes-received")
	controlBatchesSent   = expvar.NewInt("control-batches-sent")
	controlKindBytes     = expvar.NewMap("control-bytes-by-kind")
)

// Traffic is a gRPC stats handler that counts the bytes and batches that instances exchange.
type Traffic struct{}

// CountMessage adds the size in bytes of a message between instances to the counter of its kind.
func CountMessage(kind string, size int) { controlKindBytes.Add(kind, int64(size)) }

// TagRPC returns the context unchanged.
func (Traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC counts each payload by its length on the wire.
func (Traffic) HandleRPC(_ context.Context, event stats.RPCStats) {
	switch payload := event.(type) {
	case *stats.OutPayload:
		controlBytesSent.Add(int64(payload.WireLength))
		controlBatchesSent.Add(1)
	case *stats.InPayload:
		controlBytesReceived.Add(int64(payload.WireLength))
	}
}

// TagConn returns the context unchanged.
func (Traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (Traffic) HandleConn(context.Context, stats.ConnStats) {}
