package intentlog

import (
	"fmt"
	"time"

	"juniperchute/internal/tracing"
)

// Names of spans and of their attributes. They are stored.
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
	attributeWhy           = "why"
)

// Step is one step of an action, in plain words.
type Step struct {
	At     time.Time
	Member string
	Token  string // under which the member acted
	Text   string
}

// History is what became of one action, as the traces of the controllers tell.
type History struct {
	Operation, Target, Shard string
	Steps                    []Step
	// FailedOver tells whether a successor took it over.
	FailedOver bool
	// Completed tells whether its end is in the traces.
	Completed bool
}

// Duration is the time from the first to the last step.
func (h History) Duration() time.Duration {
	if len(h.Steps) == 0 {
		return 0
	}
	return h.Steps[len(h.Steps)-1].At.Sub(h.Steps[0].At)
}

// Histories puts the spans of all controllers together, action by action.
func Histories(spans []tracing.Span) []History {
	var out []History
	for _, group := range tracing.GroupByTrace(spans) {
		if group[0].Attribute(attributeOperation) != "" {
			out = append(out, history(group))
		}
	}
	return out
}

func history(spans []tracing.Span) History {
	first := spans[0]
	h := History{Operation: first.Attribute(attributeOperation), Target: first.Attribute(attributeTarget), Shard: first.Attribute(attributeShard)}
	for _, s := range spans {
		h.FailedOver = h.FailedOver || s.Name == spanRecovery
		h.Completed = h.Completed || s.Name == spanCompletion
		h.Steps = append(h.Steps, Step{At: s.Start, Member: s.Member, Token: s.Attribute(attributeToken), Text: stepText(s)})
	}
	return h
}

// stepText tells of a span in plain words.
func stepText(s tracing.Span) string {
	took := s.End.Sub(s.Start).Round(time.Millisecond)
	switch s.Name {
	case spanDecision:
		return "decides: " + s.Attribute(attributeWhy)
	case spanRecording:
		return fmt.Sprintf("enters it in the log, durable after %v", took)
	case spanCall:
		return fmt.Sprintf("calls the cloud (call %s of its tenure): %s after %v", s.Attribute(attributeCalls), s.Attribute(attributeOutcome), took)
	case spanRecovery:
		return fmt.Sprintf("takes it over, entered under token %s", s.Attribute(attributeRecordedToken))
	case spanCompletion:
		return "settles it: all that was planned on is written down"
	}
	return s.Name
}
