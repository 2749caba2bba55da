// Package tracing records OpenTelemetry spans in a file of bounded size, and reads such files.
//
// A trace follows one operation, which an operation ID names: a string that is unique in the deployment.
// The trace ID is a hash of the operation ID, so that the spans of several controllers share a trace
// without propagation of a trace context.
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
	memberAttribute = "member" // resource attribute with the name of the controller
)

// Recorder records spans in a file. It is safe for concurrent use.
type Recorder struct {
	provider  *sdktrace.TracerProvider
	tracer    trace.Tracer
	file      *rotatingFile
	wallClock func() time.Time
}

// Open returns a recorder of a member's spans, which the caller must close. The file and its rotated
// predecessor, which has the suffix ".1", take at most maxBytes together.
func Open(file string, maxBytes int64, member string, wallClock func() time.Time, rng *rand.Rand) (*Recorder, error) {
	output, err := openRotatingFile(file, maxBytes)
	if err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(output))
	if err != nil {
		return nil, fmt.Errorf("create trace exporter: %w", err)
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

// Close flushes queued spans and closes the file. Spans not written within tuning.TraceWriteInterval
// are lost.
func (r *Recorder) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), tuning.TraceWriteInterval)
	defer cancel()
	_ = r.provider.Shutdown(ctx) // a loss of spans is tolerated
	r.file.Close()
}

// Begin starts a span in the trace of an operation. The caller must end the span.
func (r *Recorder) Begin(operationID, name string, attributes ...attribute.KeyValue) trace.Span {
	parent := trace.ContextWithRemoteSpanContext(context.Background(), rootSpanContext(operationID))
	_, span := r.tracer.Start(parent, name, trace.WithTimestamp(r.wallClock()), trace.WithAttributes(attributes...))
	return span
}

// Event records a span of zero duration in the trace of an operation.
func (r *Recorder) Event(operationID, name string, attributes ...attribute.KeyValue) {
	r.Begin(operationID, name, attributes...).End(trace.WithTimestamp(r.wallClock()))
}
