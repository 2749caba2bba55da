package intentlog

import (
	"encoding/json"
	"fmt"
	"testing"

	"juniperchute/internal/wire"
)

// Stored pages of earlier terms.
const (
	oneEntry   = `{"i-1":{"Duty":"return","Token":4,"At":5000}}`
	twoEntries = `{"i-2":{"Duty":"reclaim","Token":3,"At":0},"i-3":{"Duty":"return","Token":4,"At":0}}`
)

type loadCase struct {
	name            string
	pages           []string
	ready           int
	unreadablePages int
}

var loadCases = []loadCase{
	{
		name: "no pages",
	},
	{
		name:  "two pages",
		pages: []string{oneEntry, twoEntries},
		ready: 3,
	},
	{
		name:  "entry on two pages after a failover during its move",
		pages: []string{oneEntry, oneEntry},
		ready: 1,
	},
	{
		name:            "unreadable page",
		pages:           []string{`"x`, twoEntries},
		ready:           2,
		unreadablePages: 1,
	},
	{
		name:  "entry of an unknown operation",
		pages: []string{`{"i-1":{"Duty":"paint","Token":4}}`, twoEntries},
		ready: 2,
	},
	{
		name:  "malformed entry",
		pages: []string{`{"i-1":7}`},
	},
}

// A successor recovers every readable entry once and never overwrites an unreadable page.
func TestLoad(t *testing.T) {
	for _, c := range loadCases {
		t.Run(c.name, func(t *testing.T) {
			log := newDurableTestLog()
			pages := storedPages(c.pages)
			log.Load(pages)
			ready := log.Ready(Deprovision, Reclaim)
			if len(ready) != c.ready || log.UnreadablePages() != c.unreadablePages || log.Pending() != c.ready {
				t.Fatalf("%d ready, %d unreadable, %d pending", len(ready), log.UnreadablePages(), log.Pending())
			}
			for _, intent := range ready {
				if !intent.Recovered || intent.Token >= testToken {
					t.Errorf("%+v is not recovered", intent)
				}
			}
			log.Record(testTime, Deprovision, "i-9", "idle")
			requireUnreadableKept(t, log, pages)
		})
	}
}

func storedPages(values []string) []wire.KeyValue {
	var pages []wire.KeyValue
	for i, value := range values {
		key := fmt.Sprintf("d/0/%d", i)
		pages = append(pages, wire.KeyValue{Key: key, Value: json.RawMessage(value), Version: uint64(i + 5)})
	}
	return pages
}

// requireUnreadableKept checks that no write overwrites an unreadable page.
func requireUnreadableKept(t *testing.T, log *testLog, pages []wire.KeyValue) {
	t.Helper()
	for _, call := range log.calls {
		for i, page := range pages {
			if call.Transaction.Writes[0].PutKey == page.Key && !json.Valid(page.Value) {
				t.Errorf("unreadable page %d is overwritten", i)
			}
		}
	}
}
