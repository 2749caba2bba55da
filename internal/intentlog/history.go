package intentlog

import (
	"fmt"
	"time"

	"juniperchute/internal/tracing"
)

// Step is one event in the history of an intent, as one controller traced it.
type Step struct {
	At     time.Time
	Member string
	// Token is the fencing token under which the member acted.
	Token string
	// Text describes the event in the wording of the trace command.
	Text string
}

// History is the sequence of events of one intent, joined from the controllers' traces.
type History struct {
	Operation, Target, Shard string
	Steps                    []Step
	// FailedOver reports whether a later term recovered the intent.
	FailedOver bool
	// Completed reports whether the traces show the completion of the intent.
	Completed bool
}

// Duration returns the time from the first to the last step, zero without steps.
func (h History) Duration() time.Duration {
	if len(h.Steps) == 0 {
		return 0
	}
	return h.Steps[len(h.Steps)-1].At.Sub(h.Steps[0].At)
}

// Histories joins the spans of several controllers into one history per intent, ordered by each
// intent's first span. It ignores spans that belong to no intent.
func Histories(spans []tracing.Span) []History {
	var histories []History
	for _, group := range tracing.GroupByTrace(spans) {
		if group[0].Attribute(attributeOperation) != "" {
			histories = append(histories, newHistory(group))
		}
	}
	return histories
}

// newHistory builds a history from the spans of one trace. There must be at least one span.
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

// stepText describes a span in the wording of the operators' documentation, which scripts match.
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
