package duty

import (
	"fmt"
	"time"

	"juniperchute/internal/tracing"
)

// Names of spans and of their attributes. They are stored.
const (
	spanDecision   = "decision"
	spanEntry      = "entry"
	spanCall       = "call"
	spanTakeover   = "takeover"
	spanSettlement = "settlement"

	attributeDuty      = "duty"
	attributeTarget    = "target"
	attributeBlock     = "block"
	attributeToken     = "token"
	attributeEntered   = "entered_token"
	attributeInherited = "inherited"
	attributeOutcome   = "outcome"
	attributeCalls     = "calls"
	attributeWhy       = "why"
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
	Duty, Target, Block string
	Steps               []Step
	// TakenOver tells whether a successor took it over.
	TakenOver bool
	// Settled tells whether its end is in the traces.
	Settled bool
}

// Took is the time from the first to the last step.
func (h History) Took() time.Duration {
	if len(h.Steps) == 0 {
		return 0
	}
	return h.Steps[len(h.Steps)-1].At.Sub(h.Steps[0].At)
}

// Histories puts the spans of all controllers together, action by action.
func Histories(spans []tracing.Span) []History {
	var out []History
	for _, group := range tracing.GroupByTrace(spans) {
		if group[0].Attribute(attributeDuty) != "" {
			out = append(out, history(group))
		}
	}
	return out
}

func history(spans []tracing.Span) History {
	first := spans[0]
	h := History{Duty: first.Attribute(attributeDuty), Target: first.Attribute(attributeTarget), Block: first.Attribute(attributeBlock)}
	for _, s := range spans {
		h.TakenOver = h.TakenOver || s.Name == spanTakeover
		h.Settled = h.Settled || s.Name == spanSettlement
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
	case spanEntry:
		return fmt.Sprintf("enters it in the log, durable after %v", took)
	case spanCall:
		return fmt.Sprintf("calls the cloud (call %s of its tenure): %s after %v", s.Attribute(attributeCalls), s.Attribute(attributeOutcome), took)
	case spanTakeover:
		return fmt.Sprintf("takes it over, entered under token %s", s.Attribute(attributeEntered))
	case spanSettlement:
		return "settles it: all that was planned on is written down"
	}
	return s.Name
}
