package intentlog

import (
	"encoding/json"
	"time"

	"juniperchute/internal/wire"
)

// Load recovers the intents that earlier terms recorded, from the pages of the shard's log.
// Recovered lists them afterwards.
func (l *Log) Load(pages []wire.KeyValue) {
	l.pages.Load(pages, l.loadEntry)
}

func (l *Log) loadEntry(target string, value json.RawMessage) {
	record, err := decodeEntry(value)
	if err != nil {
		l.options.Log.Error("intent log entry cannot be read", "target", target, "error", err)
		return
	}
	l.recoverIntent(record.Operation, target, record.Token, record.decidedAt())
}

// UnreadablePages is the number of pages that could not be read. Their targets are not known,
// so a late call of an earlier term may come for any machine.
func (l *Log) UnreadablePages() int { return l.pages.Unreadable() }

// RecoverElsewhere recovers an intent whose entry is a record outside the log.
func (l *Log) RecoverElsewhere(operation Operation, target string, token uint64) *Intent {
	intent := l.recoverIntent(operation, target, token, time.Time{})
	intent.recordedExternally = true
	return intent
}

func (l *Log) recoverIntent(operation Operation, target string, token uint64, decidedAt time.Time) *Intent {
	if intent := l.intents[operation][target]; intent != nil {
		return intent
	}
	intent := &Intent{
		Operation: operation,
		Target:    target,
		Token:     token,
		DecidedAt: decidedAt,
		Recovered: true,
		state:     Recorded,
	}
	l.add(intent)
	l.traceRecovered(intent)
	return intent
}
