package tracing

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"sync"

	"go.opentelemetry.io/otel/trace"
)

// rootSpanContext is the parent of all spans of an identity. Every controller computes the same
// one, so that their spans share a trace.
func rootSpanContext(identity string) trace.SpanContext {
	sum := sha256.Sum256([]byte(identity))
	root := trace.SpanContextConfig{TraceFlags: trace.FlagsSampled, Remote: true}
	copy(root.TraceID[:], sum[:])
	copy(root.SpanID[:], sum[len(root.TraceID):])
	return trace.NewSpanContext(root)
}

// idGenerator draws the IDs of spans from the random numbers passed in.
type idGenerator struct {
	mutex sync.Mutex
	rng   *rand.Rand
}

// NewIDs is part of sdktrace.IDGenerator.
func (g *idGenerator) NewIDs(ctx context.Context) (traceID trace.TraceID, spanID trace.SpanID) {
	g.fill(traceID[:])
	return traceID, g.NewSpanID(ctx, traceID)
}

// NewSpanID is part of sdktrace.IDGenerator.
func (g *idGenerator) NewSpanID(context.Context, trace.TraceID) (spanID trace.SpanID) {
	g.fill(spanID[:])
	spanID[0] |= 1 // an ID of zeros is invalid
	return spanID
}

func (g *idGenerator) fill(id []byte) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for i := range id {
		id[i] = byte(g.rng.Uint32())
	}
}
