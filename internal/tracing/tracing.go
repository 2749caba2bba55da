// Package tracing writes OpenTelemetry spans to a file of bounded size. Spans that
// belong to one thing, whichever controllers make them, are put into one trace: its
// number follows from the thing's name, so that nothing has to be passed on.
package tracing

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"juniperchute/internal/tuning"
)

// memberAttribute names the attribute that tells whose a trace is.
const memberAttribute = "member"

// Recorder makes spans and writes them to a file. It is safe for use by several goroutines.
type Recorder struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	file     *rotatingFile
	wallClock     func() time.Time
}

// Open makes a recorder of one controller's spans. The file and the one before it,
// which has the suffix ".1", together take no more than mostBytes.
func Open(file string, maxBytes int64, member string, wallClock func() time.Time, rng *rand.Rand) (*Recorder, error) {
	out, err := openRotating(file, maxBytes)
	if err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithMaxQueueSize(tuning.TraceQueueSize), sdktrace.WithBatchTimeout(tuning.TraceWriteInterval)),
		sdktrace.WithIDGenerator(&idGenerator{rng: rng}),
		sdktrace.WithSampler(sdktrace.AlwaysSample()),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "juniperchute"), attribute.String(memberAttribute, member))),
	)
	return &Recorder{provider: provider, tracer: provider.Tracer("juniperchute"), file: out, wallClock: wallClock}, nil
}

// Close writes what is left and closes the file.
func (r *Recorder) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), tuning.TraceWriteInterval)
	defer cancel()
	_ = r.provider.Shutdown(ctx) // spans that cannot be written are lost: nothing depends on them
	r.file.Close()
}

// Begin begins a span of the trace that the identity names.
func (r *Recorder) Begin(identity, name string, attributes ...attribute.KeyValue) trace.Span {
	parent := trace.ContextWithRemoteSpanContext(context.Background(), SpanContext(identity))
	_, span := r.tracer.Start(parent, name, trace.WithTimestamp(r.wallClock()), trace.WithAttributes(attributes...))
	return span
}

// Event makes a span that is over at once.
func (r *Recorder) Event(identity, name string, attributes ...attribute.KeyValue) {
	r.Begin(identity, name, attributes...).End(trace.WithTimestamp(r.wallClock()))
}

// SpanContext is the parent that all spans of one thing have, in whichever controller.
func SpanContext(identity string) trace.SpanContext {
	sum := sha256.Sum256([]byte(identity))
	c := trace.SpanContextConfig{TraceFlags: trace.FlagsSampled, Remote: true}
	copy(c.TraceID[:], sum[:])
	copy(c.SpanID[:], sum[len(c.TraceID):])
	return trace.NewSpanContext(c)
}

// idGenerator draws the numbers of spans from the randomness passed in.
type idGenerator struct {
	mutex sync.Mutex
	rng  *rand.Rand
}

// NewIDs is part of sdktrace.IDGenerator.
func (g *idGenerator) NewIDs(ctx context.Context) (id trace.TraceID, span trace.SpanID) {
	g.mutex.Lock()
	for i := range id {
		id[i] = byte(g.rng.Uint32())
	}
	g.mutex.Unlock()
	return id, g.NewSpanID(ctx, id)
}

// NewSpanID is part of sdktrace.IDGenerator.
func (g *idGenerator) NewSpanID(context.Context, trace.TraceID) (span trace.SpanID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for i := range span {
		span[i] = byte(g.rng.Uint32())
	}
	span[0] |= 1 // all zeros is no number
	return span
}
