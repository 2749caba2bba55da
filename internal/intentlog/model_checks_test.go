package intentlog_test

import (
	"fmt"
	"strings"

	"github.com/anishathalye/porcupine"

	"juniperchute/internal/intentlog"
)

// observations holds what a run has shown so far: durable entries, violations and the history.
type observations struct {
	recordedToken map[string]uint64 // by machine: the token of its last durable entry
	violations    []string
	history       []porcupine.Operation
}

func (m *model) violation(format string, args ...any) {
	m.observed.violations = append(m.observed.violations, fmt.Sprintf(format, args...))
}

// storedTokens returns the token of each machine's entry in the state service.
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

// observeStored tracks the entries that are durable.
func (m *model) observeStored() {
	for machineID, token := range m.storedTokens() {
		m.observed.recordedToken[machineID] = token
	}
}

// observeAcknowledged adds the entries to the history that their holders now know to be durable.
func (m *model) observeAcknowledged() {
	for _, holder := range m.holders {
		for _, pending := range holder.recording {
			intent := holder.log.Get(intentlog.Deprovision, pending.machineID)
			if pending.outcomeKnown || intent == nil || intent.State() == intentlog.Recording {
				continue
			}
			pending.outcomeKnown = true
			m.addToHistory(pending.operation(holder), pending.startedAt, m.step, completed)
		}
	}
}

// checkDeletion checks the invariants of a machine that the cloud has just deleted.
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

// checkWorkStart checks that a machine that gets work was never recorded under an earlier token.
func (m *model) checkWorkStart(machineID string, token uint64) {
	if recorded := m.observed.recordedToken[machineID]; recorded != 0 && recorded < token {
		m.violation("%s gets work under token %d, recorded under %d", machineID, token, recorded)
	}
}

// checkFinished checks that all intents are completed and that no entry is left in the log.
func (m *model) checkFinished() {
	for machineID := range m.observed.recordedToken {
		if m.machines[machineID].exists {
			m.violation("%s was recorded and still exists", machineID)
		}
	}
	if left := m.storedTokens(); len(left) > 0 && m.fault != skipsRecovery {
		m.violation("entries are left in the log: %v", left)
	}
}
