package intentlog

import (
	"encoding/json"
	"time"

	"juniperchute/internal/wire"
)

// Load recovers the intents of earlier terms from the pages of the shard's log. Recovered then
// returns them. Entries that cannot be decoded are logged and ignored.
func (l *Log) Load(pages []wire.KeyValue) {
	l.pages.Load(pages, l.loadEntry)
}

func (l *Log) loadEntry(target string, value json.RawMessage) {
	record, err := decodeEntry(value)
	if err != nil {
		l.options.Log.Error("failed to decode intent log entry", "target", target, "error", err)
		return
	}
	l.recoverIntent(record.Operation, target, record.Token, record.decidedAt())
}

// UnreadablePages returns the number of pages that could not be decoded. Their targets are unknown,
// so a late call of an earlier term may affect any machine.
func (l *Log) UnreadablePages() int { return l.pages.Unreadable() }

// RecoverExternal recovers the intent of an earlier term whose entry is a record outside the log.
// The token is that of the term that wrote the record.
func (l *Log) RecoverExternal(operation Operation, target string, token uint64) *Intent {
	intent := l.recoverIntent(operation, target, token, time.Time{})
	intent.externalEntry = true
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
