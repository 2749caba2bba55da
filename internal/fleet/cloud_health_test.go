package fleet

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"juniperchute/internal/cloud"
	"juniperchute/internal/tuning"
)

// Guards against a lease holder that cannot reach the cloud and says so neither in its log nor in its
// status.
func TestFailingCloudIsReported(t *testing.T) {
	f := newFixture(t)
	var logged bytes.Buffer
	f.autoscaler.health.log = slog.New(slog.NewTextHandler(&logged, nil))
	f.advance(time.Second)
	failedAt := f.now
	f.answerCall(cloud.ListMachineTypes, cloud.Failure(cloud.ErrUnavailable))
	f.advance(2 * time.Second)
	f.answerCall(cloud.ListMachines, cloud.Result{})
	waits := f.autoscaler.Waits()
	if len(waits) != 1 || !waits[0].Since.Equal(failedAt) || !strings.Contains(waits[0].Reason, "2 calls") {
		t.Errorf("waits %+v, want one for 2 failed calls since %v", waits, failedAt)
	}
	if n := strings.Count(logged.String(), "cloud calls fail"); n != 1 {
		t.Errorf("%d log lines about failures, want 1:\n%s", n, logged.String())
	}
	f.advance(tuning.CloudFailureLogInterval)
	f.answerCall(cloud.ListMachines, cloud.Failure(cloud.ErrUnavailable))
	if n := strings.Count(logged.String(), "cloud calls fail"); n != 2 {
		t.Errorf("%d log lines after %v, want 2", n, tuning.CloudFailureLogInterval)
	}
	f.advance(tuning.CloudBackoffMax)
	f.answerCall(cloud.ListMachines, listed())
	if waits := f.autoscaler.Waits(); len(waits) != 0 {
		t.Errorf("waits %+v after a successful call", waits)
	}
	if !strings.Contains(logged.String(), "cloud calls succeed again") {
		t.Errorf("the recovery is not logged:\n%s", logged.String())
	}
}

// Guards against a status that hides a provisioning request whose outcome stays unknown.
func TestUnansweredRequestsAreReported(t *testing.T) {
	f := newFixture(t)
	f.addGang(1, 1, false)
	f.advance(time.Second)
	requestedAt := f.now
	f.commitWrites()
	f.advance(time.Minute)
	waits := f.autoscaler.Waits()
	if len(waits) != 1 || !waits[0].Since.Equal(requestedAt) {
		t.Errorf("waits %+v, want one since %v", waits, requestedAt)
	}
	f.answerCall(cloud.CreateMachines, granted("i-1"))
	if waits := f.autoscaler.Waits(); len(waits) != 0 {
		t.Errorf("waits %+v after the grant", waits)
	}
}
