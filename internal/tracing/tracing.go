// Package tracing writes OpenTelemetry spans to a file of bounded size, and reads them.
//
// Spans of the same identity are put into one trace, whichever controllers make them: the trace
// ID is a hash of the identity, so that no context has to be passed between controllers.
package tracing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"juniperchute/internal/tuning"
)

const (
	serviceName     = "juniperchute"
	memberAttribute = "member" // the attribute that names the controller whose spans they are
)

// Recorder makes spans and writes them to a file. It is safe for concurrent use.
type Recorder struct {
	provider  *sdktrace.TracerProvider
	tracer    trace.Tracer
	file      *rotatingFile
	wallClock func() time.Time
}

// Open makes a recorder of one member's spans, which the caller closes. The file and the one
// before it, which has the suffix ".1", together take at most maxBytes.
func Open(file string, maxBytes int64, member string, wallClock func() time.Time, rng *rand.Rand) (*Recorder, error) {
	output, err := openRotating(file, maxBytes)
	if err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(output))
	if err != nil {
		return nil, fmt.Errorf("make trace exporter: %w", err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter,
			sdktrace.WithMaxQueueSize(tuning.TraceQueueSize),
			sdktrace.WithBatchTimeout(tuning.TraceWriteInterval)),
		sdktrace.WithIDGenerator(&idGenerator{rng: rng}),
		sdktrace.WithSampler(sdktrace.AlwaysSample()),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", serviceName),
			attribute.String(memberAttribute, member))),
	)
	return &Recorder{provider: provider, tracer: provider.Tracer(serviceName), file: output, wallClock: wallClock}, nil
}

// Close writes the spans that are left and closes the file. Spans that cannot be written within
// tuning.TraceWriteInterval are lost.
func (r *Recorder) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), tuning.TraceWriteInterval)
	defer cancel()
	_ = r.provider.Shutdown(ctx) // nothing depends on the spans
	r.file.Close()
}

// Begin starts a span of the identity's trace. The caller ends it.
func (r *Recorder) Begin(identity, name string, attributes ...attribute.KeyValue) trace.Span {
	parent := trace.ContextWithRemoteSpanContext(context.Background(), rootSpanContext(identity))
	_, span := r.tracer.Start(parent, name, trace.WithTimestamp(r.wallClock()), trace.WithAttributes(attributes...))
	return span
}

// Event makes a span that ends at once.
func (r *Recorder) Event(identity, name string, attributes ...attribute.KeyValue) {
	r.Begin(identity, name, attributes...).End(trace.WithTimestamp(r.wallClock()))
}
