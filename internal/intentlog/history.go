package intentlog

import (
	"fmt"
	"time"

	"juniperchute/internal/tracing"
)

// Step is one step in the history of an intent.
type Step struct {
	At     time.Time
	Member string
	// Token is the fencing token under which the member acted.
	Token string
	// Text says what was done, as the trace command prints it.
	Text string
}

// History is the course of one intent according to the controllers' traces.
type History struct {
	Operation, Target, Shard string
	Steps                    []Step
	// FailedOver: whether a successor recovered it.
	FailedOver bool
	// Completed: whether its end is in the traces.
	Completed bool
}

// Duration is the time from the first to the last step.
func (h History) Duration() time.Duration {
	if len(h.Steps) == 0 {
		return 0
	}
	return h.Steps[len(h.Steps)-1].At.Sub(h.Steps[0].At)
}

// Histories joins the spans of all controllers into one history for each intent, in the order
// in which the intents were decided. Spans of other things are left out.
func Histories(spans []tracing.Span) []History {
	var histories []History
	for _, group := range tracing.GroupByTrace(spans) {
		if group[0].Attribute(attributeOperation) != "" {
			histories = append(histories, newHistory(group))
		}
	}
	return histories
}

// newHistory makes a history of the spans of one trace.
func newHistory(spans []tracing.Span) History {
	first := spans[0]
	h := History{
		Operation: first.Attribute(attributeOperation),
		Target:    first.Attribute(attributeTarget),
		Shard:     first.Attribute(attributeShard),
	}
	for _, span := range spans {
		h.FailedOver = h.FailedOver || span.Name == spanRecovery
		h.Completed = h.Completed || span.Name == spanCompletion
		h.Steps = append(h.Steps, Step{
			At:     span.Start,
			Member: span.Member,
			Token:  span.Attribute(attributeToken),
			Text:   stepText(span),
		})
	}
	return h
}

// stepText describes a span. The wording is that of the operators' documentation.
func stepText(span tracing.Span) string {
	duration := span.End.Sub(span.Start).Round(time.Millisecond)
	switch span.Name {
	case spanDecision:
		return "decides: " + span.Attribute(attributeReason)
	case spanRecording:
		return fmt.Sprintf("enters it in the log, durable after %v", duration)
	case spanCall:
		return fmt.Sprintf("calls the cloud (call %s of its tenure): %s after %v",
			span.Attribute(attributeCalls), span.Attribute(attributeOutcome), duration)
	case spanRecovery:
		return fmt.Sprintf("takes it over, entered under token %s", span.Attribute(attributeRecordedToken))
	case spanCompletion:
		return "settles it: all that was planned on is written down"
	}
	return span.Name
}
