package intentlog

import (
	"strconv"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// Tracer makes the spans of actions. All controllers that handle an action put its spans
// into one trace, which its identity names.
type Tracer interface {
	// Begin begins a span of the trace that the identity names.
	Begin(identity, name string, attributes ...attribute.KeyValue) trace.Span
	// Event makes a span that is over at once.
	Event(identity, name string, attributes ...attribute.KeyValue)
}

// identity names an action among all of a deployment's.
func (l *Log) identity(a *Intent) string {
	return LogPrefix(l.options.Shard) + string(a.Operation) + "/" + a.Target
}

func (l *Log) attributes(a *Intent) []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String(attributeOperation, string(a.Operation)), attribute.String(attributeTarget, a.Target), attribute.Int(attributeShard, l.options.Shard),
		attribute.String(attributeToken, strconv.FormatUint(l.options.Token, 10)), attribute.String(attributeRecordedToken, strconv.FormatUint(a.Token, 10)),
		attribute.Bool(attributeRecovered, a.Recovered),
	}
}

// event makes a span of an action's that is over at once.
func (l *Log) event(a *Intent, name string, more ...attribute.KeyValue) {
	if l.options.Tracer != nil {
		l.options.Tracer.Event(l.identity(a), name, append(l.attributes(a), more...)...)
	}
}

// begin begins a span of an action's; end ends it.
func (l *Log) begin(a *Intent, name string) {
	if l.options.Tracer != nil {
		a.span = l.options.Tracer.Begin(l.identity(a), name, l.attributes(a)...)
	}
}

func (a *Intent) end(attributes ...attribute.KeyValue) {
	if a.span != nil {
		a.span.SetAttributes(attributes...)
		a.span.End()
		a.span = nil
	}
}

func (l *Log) traceDecision(a *Intent, why string) {
	if l.options.Tracer == nil {
		return
	}
	l.event(a, spanDecision, attribute.String(attributeWhy, why))
	l.begin(a, spanRecording)
}

func (l *Log) traceRecorded(a *Intent) { a.end() }

func (l *Log) traceRecovered(a *Intent) { l.event(a, spanRecovery) }

func (l *Log) traceCall(a *Intent) { l.begin(a, spanCall) }

func (l *Log) traceAnswer(a *Intent, o Outcome) {
	if a.span != nil {
		a.end(attribute.String(attributeOutcome, o.String()), attribute.Int(attributeCalls, a.calls))
	}
}

func (l *Log) traceCompleted(a *Intent) { l.event(a, spanCompletion) }
