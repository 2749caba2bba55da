package intentlog_test

import (
	"fmt"
	"strings"

	"github.com/anishathalye/porcupine"

	"juniperchute/internal/intentlog"
)

// observations are what is known of a model's course from outside.
type observations struct {
	recordedToken map[string]uint64 // by machine: the token of its entry, if one was ever durable
	violations    []string
	history       []porcupine.Operation
}

func (m *model) violation(format string, args ...any) {
	m.observed.violations = append(m.observed.violations, fmt.Sprintf(format, args...))
}

// storedTokens reads the log as the state service has it: by machine, the token of its entry.
func (m *model) storedTokens() map[string]uint64 {
	tokens := map[string]uint64{}
	for key, item := range m.state.Keys {
		if !strings.HasPrefix(key, intentlog.Prefix) {
			continue
		}
		entries, err := intentlog.ReadPage(item.Value)
		if err != nil {
			m.violation("page %s: %v", key, err)
		}
		for _, entry := range entries {
			tokens[entry.Target] = entry.Token
		}
	}
	return tokens
}

// observeStored notes which entries are durable.
func (m *model) observeStored() {
	for machineID, token := range m.storedTokens() {
		m.observed.recordedToken[machineID] = token
	}
}

// observeRecorded notes which entries their owners know to be durable.
func (m *model) observeRecorded() {
	for _, owner := range m.owners {
		for _, pending := range owner.recording {
			intent := owner.log.Get(intentlog.Deprovision, pending.machineID)
			if pending.outcomeKnown || intent == nil || intent.State() == intentlog.Recording {
				continue
			}
			pending.outcomeKnown = true
			m.addToHistory(pending.operation(owner), pending.startedAt, m.step, completed)
		}
	}
}

// checkDeletion checks the rules for a machine that the cloud has just deleted.
func (m *model) checkDeletion(machineID string) {
	recordedToken := m.observed.recordedToken[machineID]
	workToken := m.machines[machineID].workToken
	switch _, stored := m.storedTokens()[machineID]; {
	case recordedToken == 0:
		m.violation("%s is deleted and was never recorded", machineID)
	case !stored:
		m.violation("%s is deleted after its intent was completed", machineID)
	case workToken != 0:
		m.violation("%s is deleted with work of token %d, recorded under %d", machineID, workToken, recordedToken)
	}
}

// checkWorkStart checks that a machine that gets work under a token was not recorded under an earlier one.
func (m *model) checkWorkStart(machineID string, token uint64) {
	if recorded := m.observed.recordedToken[machineID]; recorded != 0 && recorded < token {
		m.violation("%s gets work under token %d, recorded under %d", machineID, token, recorded)
	}
}

// checkFinished checks that all intents were completed and no entry is left.
func (m *model) checkFinished() {
	for machineID := range m.observed.recordedToken {
		if m.machines[machineID].exists {
			m.violation("%s was recorded and still exists", machineID)
		}
	}
	if left := m.storedTokens(); len(left) > 0 && m.fault != ignoresRecovered {
		m.violation("entries are left in the log: %v", left)
	}
}
