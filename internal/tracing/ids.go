package tracing

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"sync"

	"go.opentelemetry.io/otel/trace"
)

// rootSpanContext returns the parent of all spans of an operation. It is derived from the operation ID
// alone, so that the spans of all controllers share a trace.
func rootSpanContext(operationID string) trace.SpanContext {
	sum := sha256.Sum256([]byte(operationID))
	root := trace.SpanContextConfig{TraceFlags: trace.FlagsSampled, Remote: true}
	copy(root.TraceID[:], sum[:])
	copy(root.SpanID[:], sum[len(root.TraceID):])
	return trace.NewSpanContext(root)
}

// idGenerator implements sdktrace.IDGenerator with IDs from rng. It is safe for concurrent use.
type idGenerator struct {
	mutex sync.Mutex
	rng   *rand.Rand
}

// NewIDs returns a random trace ID and span ID.
func (g *idGenerator) NewIDs(ctx context.Context) (traceID trace.TraceID, spanID trace.SpanID) {
	g.fill(traceID[:])
	return traceID, g.NewSpanID(ctx, traceID)
}

// NewSpanID returns a random span ID for a span of an existing trace.
func (g *idGenerator) NewSpanID(context.Context, trace.TraceID) (spanID trace.SpanID) {
	g.fill(spanID[:])
	spanID[0] |= 1 // the zero ID is invalid
	return spanID
}

func (g *idGenerator) fill(id []byte) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for i := range id {
		id[i] = byte(g.rng.Uint32())
	}
}
