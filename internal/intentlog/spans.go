package intentlog

import (
	"strconv"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// Names of spans and of their attributes. They are stored in trace files that other versions read.
const (
	spanDecision   = "decision"
	spanRecording  = "entry"
	spanCall       = "call"
	spanRecovery   = "takeover"
	spanCompletion = "settlement"

	attributeOperation     = "duty"
	attributeTarget        = "target"
	attributeShard         = "block"
	attributeToken         = "token"
	attributeRecordedToken = "entered_token"
	attributeRecovered     = "inherited"
	attributeOutcome       = "outcome"
	attributeCalls         = "calls"
	attributeReason        = "why"
)

// Tracer creates the spans of intents. The trace of a span is derived from the intent's identity, so
// that the spans of all controllers that handle an intent belong to one trace.
type Tracer interface {
	// Begin starts a span in the trace of the identity. The caller ends the span.
	Begin(identity, name string, attributes ...attribute.KeyValue) trace.Span
	// Event creates a span without duration in the trace of the identity.
	Event(identity, name string, attributes ...attribute.KeyValue)
}

// identity returns a name of the intent that is unique in the deployment.
func (l *Log) identity(intent *Intent) string {
	return ShardPrefix(l.options.Shard) + string(intent.Operation) + "/" + intent.Target
}

func (l *Log) attributes(intent *Intent) []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String(attributeOperation, string(intent.Operation)),
		attribute.String(attributeTarget, intent.Target),
		attribute.Int(attributeShard, l.options.Shard),
		attribute.String(attributeToken, strconv.FormatUint(l.options.Token, 10)),
		attribute.String(attributeRecordedToken, strconv.FormatUint(intent.Token, 10)),
		attribute.Bool(attributeRecovered, intent.Recovered),
	}
}

// traceEvent creates a span of an intent without duration.
func (l *Log) traceEvent(intent *Intent, name string, more ...attribute.KeyValue) {
	if l.options.Tracer != nil {
		l.options.Tracer.Event(l.identity(intent), name, append(l.attributes(intent), more...)...)
	}
}

// startSpan starts a span of an intent. An intent has at most one open span, which endSpan ends.
func (l *Log) startSpan(intent *Intent, name string) {
	if l.options.Tracer != nil {
		intent.span = l.options.Tracer.Begin(l.identity(intent), name, l.attributes(intent)...)
	}
}

func (i *Intent) endSpan(attributes ...attribute.KeyValue) {
	if i.span != nil {
		i.span.SetAttributes(attributes...)
		i.span.End()
		i.span = nil
	}
}

func (l *Log) traceDecision(intent *Intent, reason string) {
	l.traceEvent(intent, spanDecision, attribute.String(attributeReason, reason))
	l.startSpan(intent, spanRecording)
}

func (l *Log) traceRecorded(intent *Intent) { intent.endSpan() }

func (l *Log) traceRecovered(intent *Intent) { l.traceEvent(intent, spanRecovery) }

func (l *Log) traceCallStarted(intent *Intent) { l.startSpan(intent, spanCall) }

func (l *Log) traceCallResult(intent *Intent, outcome Outcome) {
	intent.endSpan(attribute.String(attributeOutcome, outcome.String()), attribute.Int(attributeCalls, intent.calls))
}

func (l *Log) traceCompletion(intent *Intent) { l.traceEvent(intent, spanCompletion) }
