package store

import (
	"testing"
	"time"

	"juniperchute/internal/wire"
)

type desiredValueCase struct {
	name         string
	results      []Result // results of the calls, in order
	wantDurable  bool
	wantTermLost bool
	wantVersion  uint64 // version that the last write compares
}

var desiredValueCases = []desiredValueCase{
	{
		name:        "successful write is durable",
		results:     []Result{{Revision: 5}},
		wantDurable: true,
		wantVersion: 3,
	},
	{
		name:        "unavailable service: write is retried",
		results:     []Result{{Err: ErrUnavailable}, {Revision: 5}},
		wantDurable: true,
		wantVersion: 3,
	},
	{
		name: "executed write without a response: version is read after the conflict",
		results: []Result{
			{Err: ErrNoResponse},
			{Err: &ConflictError{FailedKeys: []string{"k"}}},
			{KeyValue: wire.KeyValue{Version: 4}},
			{Revision: 5},
		},
		wantDurable: true,
		wantVersion: 4,
	},
	{
		name: "conflict on a deleted key: version 0 is compared",
		results: []Result{
			{Err: &ConflictError{FailedKeys: []string{"k"}}},
			{Err: ErrNotFound},
			{Revision: 5},
		},
		wantDurable: true,
		wantVersion: 0,
	},
	{
		name:         "conflict on the term: term is reported lost",
		results:      []Result{{Err: &ConflictError{FailedKeys: []string{termKey}}}},
		wantTermLost: true,
		wantVersion:  3,
	},
}

func TestDesiredValue(t *testing.T) {
	for _, c := range desiredValueCases {
		t.Run(c.name, func(t *testing.T) {
			service := &pendingCalls{}
			termLost := false
			value := NewDesiredValue(DesiredValueOptions{
				Key:         "k",
				KeyVersion:  3,
				Priority:    PriorityCompletion,
				TermCompare: VersionEquals(termKey, 2),
				StateCall:   service.call,
				OnDurable:   func(time.Time, int) {},
				OnTermLost:  func(time.Time) { termLost = true },
			})
			value.Set(1)
			var lastWrite Call
			for i, result := range c.results {
				value.Tick(time.Unix(0, 0).Add(time.Duration(i) * time.Hour))
				if call := service.reply(t, result); call.Op == OpTransaction {
					lastWrite = call
				}
			}
			if value.Durable() != c.wantDurable || termLost != c.wantTermLost {
				t.Errorf("durable %t, term lost %t", value.Durable(), termLost)
			}
			compares := lastWrite.Transaction.Compares
			if compares[0] != VersionEquals(termKey, 2) || compares[1] != VersionEquals("k", c.wantVersion) {
				t.Errorf("compares %v", compares)
			}
		})
	}
}
