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
		attribute.String("duty", string(a.Duty)), attribute.String("target", a.Target), attribute.Int("block", l.opt.Block),
		attribute.String("token", strconv.FormatUint(l.opt.Token, 10)), attribute.String("entered_token", strconv.FormatUint(a.Token, 10)),
		attribute.Bool("inherited", a.Inherited),
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
	l.event(a, "decision", attribute.String("why", why))
	l.begin(a, "entry")
}

func (l *Log) traceEntry(a *Action) { a.end() }

func (l *Log) traceInherited(a *Action) { l.event(a, "takeover") }

func (l *Log) traceCall(a *Action) { l.begin(a, "call") }

func (l *Log) traceAnswer(a *Action, o Outcome) {
	if a.span != nil {
		a.end(attribute.String("outcome", o.String()), attribute.Int("calls", a.calls))
	}
}

func (l *Log) traceSettled(a *Action) { l.event(a, "settlement") }
