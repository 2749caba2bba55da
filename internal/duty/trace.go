package duty

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
func (l *Log) identity(a *Action) string {
	return LogUnder(l.opt.Block) + string(a.Duty) + "/" + a.Target
}

func (l *Log) attributes(a *Action) []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String(attributeDuty, string(a.Duty)), attribute.String(attributeTarget, a.Target), attribute.Int(attributeBlock, l.opt.Block),
		attribute.String(attributeToken, strconv.FormatUint(l.opt.Token, 10)), attribute.String(attributeEntered, strconv.FormatUint(a.Token, 10)),
		attribute.Bool(attributeInherited, a.Inherited),
	}
}

// event makes a span of an action's that is over at once.
func (l *Log) event(a *Action, name string, more ...attribute.KeyValue) {
	if l.opt.Tracer != nil {
		l.opt.Tracer.Event(l.identity(a), name, append(l.attributes(a), more...)...)
	}
}

// begin begins a span of an action's; end ends it.
func (l *Log) begin(a *Action, name string) {
	if l.opt.Tracer != nil {
		a.span = l.opt.Tracer.Begin(l.identity(a), name, l.attributes(a)...)
	}
}

func (a *Action) end(attributes ...attribute.KeyValue) {
	if a.span != nil {
		a.span.SetAttributes(attributes...)
		a.span.End()
		a.span = nil
	}
}

func (l *Log) traceDecision(a *Action, why string) {
	if l.opt.Tracer == nil {
		return
	}
	l.event(a, spanDecision, attribute.String(attributeWhy, why))
	l.begin(a, spanEntry)
}

func (l *Log) traceEntry(a *Action) { a.end() }

func (l *Log) traceInherited(a *Action) { l.event(a, spanTakeover) }

func (l *Log) traceCall(a *Action) { l.begin(a, spanCall) }

func (l *Log) traceAnswer(a *Action, o Outcome) {
	if a.span != nil {
		a.end(attribute.String(attributeOutcome, o.String()), attribute.Int(attributeCalls, a.calls))
	}
}

func (l *Log) traceSettled(a *Action) { l.event(a, spanSettlement) }
