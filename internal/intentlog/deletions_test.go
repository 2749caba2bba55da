package intentlog

import (
	"errors"
	"testing"
	"time"

	"juniperchute/internal/store"
	"juniperchute/internal/wire"
)

type deletionCase struct {
	name     string
	compares []wire.Compare
	key      string
	passes   bool
	counted  int
}

var deletionCases = []deletionCase{
	{
		name:     "conditioned on the term",
		compares: []wire.Compare{termCompare, store.VersionEquals("h/0/x", 4)},
		key:      "h/0/x",
		passes:   true,
		counted:  1,
	},
	{
		name:     "conditioned on another term",
		compares: []wire.Compare{store.VersionEquals(termKey, 2), store.VersionEquals("h/0/x", 4)},
		key:      "h/0/x",
	},
	{
		name: "unconditional",
		key:  "h/0/x",
	},
	{
		name:   "record outside the guarded prefixes",
		key:    "q/job-1",
		passes: true,
	},
}

// Deletions under the guarded prefixes pass only if conditioned on the term, and are counted.
func TestGuardRemovals(t *testing.T) {
	for _, c := range deletionCases {
		t.Run(c.name, func(t *testing.T) {
			log := newDurableTestLog()
			var got store.Result
			guarded := log.GuardDeletions(log.holdCall, "h/0/", "u/0/")
			guarded(deleteCall(c.key, c.compares), func(_ time.Time, result store.Result) { got = result })
			if passes := len(log.calls) == 1; passes != c.passes {
				t.Fatalf("passes: %v", passes)
			}
			if !c.passes {
				if !errors.Is(got.Err, store.ErrConflict) {
					t.Errorf("answered %v", got.Err)
				}
				return
			}
			status := deletionStatus(t, log)
			if status.DeletionsInFlight != c.counted || status.OldestDeletionSentAt.IsZero() != (c.counted == 0) {
				t.Errorf("in flight: %+v", status)
			}
			log.answerAll(store.Result{})
			status = deletionStatus(t, log)
			if status.DeletionsInFlight != 0 || status.DeletionsDone != c.counted {
				t.Errorf("answered: %+v", status)
			}
		})
	}
}

func deletionStatus(t *testing.T, log *testLog) OperationStatus {
	t.Helper()
	status := log.Status()[len(Operations())-1]
	if status.Operation != DeleteRecords {
		t.Errorf("the last status is of %q", status.Operation)
	}
	return status
}
